export * from './group-by.js';
export * from './random.js';
export * from './rendezvous.js';
