export * from './log-store.js';
