export * from './request-gate.js';
export * from './supervise.js';
