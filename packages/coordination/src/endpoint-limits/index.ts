export * from './cold-account.js';
export * from './cold-issuer.js';
export * from './cold-start.js';
export * from './issuer-term.js';
export * from './limit-ledger.js';
export * from './permit-account.js';
export * from './permit-issuer.js';
