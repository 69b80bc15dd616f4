export * from './placement.js';
