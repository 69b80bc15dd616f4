export * from './change-history.js';
export * from './host-configuration.js';
