export * from './uneven.js';
