export * from './endpoint-load.js';
export * from './engine-model.js';
export * from './place-request.js';
export * from './endpoint-health.js';
export * from './retry-allowance.js';
export * from './switch-permits.js';
export * from './admit.js';
export * from './key-lease.js';
