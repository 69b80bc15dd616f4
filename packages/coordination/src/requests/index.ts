export * from './attempt.js';
export * from './event-gate.js';
