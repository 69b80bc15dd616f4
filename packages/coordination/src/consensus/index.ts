export * from './create-consensus.js';
export * from './lease.js';
export {
	entriesFrom, lastIndexOf, quorumOf, termAt,
} from './log.js';
export * from './step.js';
export type * from './types.js';
