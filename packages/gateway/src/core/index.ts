export * from './core-node.js';
export * from './core-relay.js';
export * from './evacuation-orders.js';
export * from './followers.js';
export * from './permit-desk.js';
export * from './region-check.js';
export * from './submit-once.js';
export type * from './types.js';
export * from './voter-monitor.js';
