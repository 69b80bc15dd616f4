export * from './catalog/index.js';
export * from './chunks/index.js';
export * from './documents/index.js';
export * from './log/index.js';
export * from './manifest/index.js';
export * from './routing/index.js';
export * from './types/index.js';
