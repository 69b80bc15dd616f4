export * from './http/index.js';
export * from './logging/index.js';
export * from './metrics/index.js';
export * from './process/index.js';
export * from './rpc/index.js';
export * from './utils.js';
