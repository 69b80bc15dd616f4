export * from './link-budget.js';
export * from './link-strain.js';
export * from './source-rests.js';
export * from './swarm.js';
export * from './standstill.js';
export * from './uploads.js';
export type * from './types.js';
