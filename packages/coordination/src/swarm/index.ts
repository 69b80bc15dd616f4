export * from './link-budget.js';
export * from './link-strain.js';
export * from './source-backoffs.js';
export * from './swarm.js';
export * from './process-stall.js';
export * from './uploads.js';
export type * from './types.js';
