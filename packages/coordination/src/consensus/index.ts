export * from './create-consensus.js';
export * from './entry-size.js';
export * from './formation.js';
export * from './lease.js';
export {
	entriesFrom, lastIndexOf, membersAt, quorumOf, termAt,
} from './log.js';
export * from './member-id.js';
export * from './plan-members.js';
export * from './step.js';
export type * from './types.js';
export * from './voter-group.js';
