export * from './create-logger.js';
export * from './events.js';
