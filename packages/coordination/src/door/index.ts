export * from './door.js';
