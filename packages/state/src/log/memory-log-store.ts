import type {LogStore} from './log-store.js';

/** A log that ends with its process, for a host without a disk: begins empty, and writes nothing. */
export const createMemoryLogStore = (): LogStore => ({
	loaded: {
		hardState: {term: 0, votedFor: null}, snapshot: null, entries: [], cutBytes: 0,
	},
	append: async () => undefined,
	saveSnapshot: async () => undefined,
	syncCount: () => 0,
	close: async () => undefined,
});
