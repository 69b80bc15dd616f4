export * from './crash-exchange.js';
export * from './crash-update.js';
export * from './request-quarantine.js';
export * from './part-update.js';
export * from './quarantine-sync.js';
