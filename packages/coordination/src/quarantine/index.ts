export * from './broken-attempts.js';
export * from './crash-ledger.js';
export * from './ended-answers.js';
export {isCrashingPart, surpriseOf, type PartEvidence} from './judge-part.js';
export * from './judge-suspect.js';
export * from './part-ledger.js';
export * from './repeated-news.js';
export * from './prompt-part.js';
export * from './request-fingerprint.js';
