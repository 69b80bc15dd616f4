export * from './statement.js';
