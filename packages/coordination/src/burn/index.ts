export * from './burn-counter.js';
export * from './burn-merge.js';
export * from './burn-report.js';
export * from './windows.js';
