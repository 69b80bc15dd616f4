export * from './burn.js';
export * from './crashes.js';
export * from './methods.js';
export * from './request-record.js';
export * from './shares.js';
