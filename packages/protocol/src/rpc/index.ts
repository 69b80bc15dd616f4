export * from './burn.js';
export * from './methods.js';
