export * from './check-configuration.js';
export * from './check-regions.js';
export * from './route-table.js';
export type * from './types.js';
