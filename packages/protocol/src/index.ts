export * from './http/index.js';
export * from './language/index.js';
export * from './rpc/index.js';
