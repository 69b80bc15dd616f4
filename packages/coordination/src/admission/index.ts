export * from './admission.js';
export {
	answerShareRequest, countEntries, createEntryShares, setTeamRates, shareOf, updateEntries, applyShareAnswer, tickShares,
	type EntryShares, type EntrySharesOptions, type ShareAnswer, type OutgoingShareRequest, type ShareRequest,
} from './entry-shares.js';
export * from './retry-budget.js';
export type {TeamUsage} from './share-needs.js';
export * from './team-limits.js';
export type * from './types.js';
