export * from './attempt.js';
export * from './event-gate.js';
export * from './retry.js';
