export * from './agent/index.js';
export * from './core/index.js';
export * from './entry/index.js';
export * from './limits/index.js';
export * from './link/index.js';
export * from './load/index.js';
export * from './process/index.js';
export * from './quarantine/index.js';
