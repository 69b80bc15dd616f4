export * from './create-metrics.js';
