export * from './swarm.js';
export * from './uploads.js';
export type * from './types.js';
