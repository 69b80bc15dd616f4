export * from './test-folder.js';
