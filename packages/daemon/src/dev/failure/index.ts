export * from './create-failure-cluster.js';
export * from './links.js';
export * from './node-handle.js';
export * from './operate.js';
