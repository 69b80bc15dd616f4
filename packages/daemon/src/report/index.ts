export * from './burn-html.js';
export * from './burn-text.js';
