export * from './attempt.js';
export * from './claimed-call.js';
export * from './event-gate.js';
export * from './retry.js';
