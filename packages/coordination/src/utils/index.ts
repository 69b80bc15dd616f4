export * from './clock.js';
export * from './group-by.js';
export * from './random.js';
export * from './rendezvous.js';
export * from './stall-meter.js';
