export * from './fleet-cost.js';
