export * from './line-logger.js';
export * from './gateway-metrics.js';
export * from './host-limits.js';
