export * from './demand-exchange.js';
export * from './demand-message.js';
export * from './service-rooms.js';
