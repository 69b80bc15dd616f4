export * from './limit-ledger.js';
export * from './permit-account.js';
export * from './permit-issuer.js';
