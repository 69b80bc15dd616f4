export * from './registry.js';
export type * from './types.js';
