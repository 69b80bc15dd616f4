export * from './order-expiry.js';
export * from './pause-record.js';
