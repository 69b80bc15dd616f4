export * from './random.js';
export * from './rendezvous.js';
