export * from './endpoint-index.js';
export * from './router.js';
