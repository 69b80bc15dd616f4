export * from './door.js';
export * from './supervise.js';
