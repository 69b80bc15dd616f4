export * from './stop-signals.js';
