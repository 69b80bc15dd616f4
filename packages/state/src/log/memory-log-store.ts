import type {LogStore} from './log-store.js';

/** A log store that persists nothing, for a host without a disk: it is empty after each start of the process. */
export const createMemoryLogStore = (): LogStore => ({
	loaded: {
		hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], cutBytes: 0,
	},
	append: async () => undefined,
	saveSnapshot: async () => undefined,
	syncCount: () => 0,
	close: async () => undefined,
});
