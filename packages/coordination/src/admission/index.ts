export * from './admission.js';
export * from './retry-budget.js';
export type * from './types.js';
