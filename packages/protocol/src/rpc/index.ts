export * from './methods.js';
