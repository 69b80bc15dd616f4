export * from './check-history.js';
export * from './events.js';
export * from './record-call.js';
export type * from './violation.js';
