export * from './endpoint-limits.js';
export * from './limit-message.js';
export * from './permit-exchange.js';
