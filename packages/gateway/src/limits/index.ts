export * from './cold-endpoints.js';
export * from './cold-exchange.js';
export * from './endpoint-limits.js';
export * from './limit-message.js';
export * from './permit-exchange.js';
