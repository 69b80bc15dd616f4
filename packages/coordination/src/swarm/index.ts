export * from './swarm.js';
export type * from './types.js';
