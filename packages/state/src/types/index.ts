export * from './ids.js';
export * from './verdict.js';
