export * from './chunk-store.js';
