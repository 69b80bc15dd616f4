export * from './consensus-driver.js';
export * from './hand-over.js';
export * from './log-proposals.js';
export * from './peer-sender.js';
export * from './voter-repair.js';
