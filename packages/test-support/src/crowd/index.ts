export * from './crowd.js';
export * from './process-usage.js';
export * from './wire.js';
