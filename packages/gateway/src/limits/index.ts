export * from './endpoint-limits.js';
