export * from './crash-exchange.js';
export * from './crash-news.js';
export * from './request-quarantine.js';
