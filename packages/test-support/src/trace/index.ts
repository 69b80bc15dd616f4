export * from './replay-trace.js';
export * from './trace.js';
