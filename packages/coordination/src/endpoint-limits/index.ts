export * from './limit-ledger.js';
