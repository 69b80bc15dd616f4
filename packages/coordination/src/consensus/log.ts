import type {LogEntry, Members} from '@bitternpaddle/state';
import {entryBytes} from './entry-size.js';
import type {ConsensusState} from './types.js';

export type BatchLimits = {readonly maxEntries: number; readonly maxBytes: number; readonly allowsLargeEntry: boolean};

export type Batch = {readonly entries: LogEntry[]; readonly sizeBytes: number};

export const snapshotIndexOf = (state: ConsensusState): number => state.snapshot?.index ?? 0;

export const lastIndexOf = (state: ConsensusState): number => snapshotIndexOf(state) + state.entries.length;

export const entryAt = (state: ConsensusState, index: number): LogEntry | undefined => state.entries[index - snapshotIndexOf(state) - 1];

/** `null` if the index precedes the snapshot or is beyond the end of the log. */
export const termAt = (state: ConsensusState, index: number): number | null => {
	if (index === snapshotIndexOf(state)) {
		return state.snapshot?.term ?? 0;
	}

	return entryAt(state, index)?.term ?? null;
};

export const lastTermOf = (state: ConsensusState): number => termAt(state, lastIndexOf(state)) ?? 0;

export const entriesFrom = (state: ConsensusState, index: number, limit: number): LogEntry[] => {
	const start = index - snapshotIndexOf(state) - 1;
	return state.entries.slice(start, start + limit);
};

/** The entries from `index` on that fit into both limits, together. `allowsLargeEntry`: an entry above `maxBytes` is returned alone. */
export const batchFrom = (state: ConsensusState, index: number, {maxEntries, maxBytes, allowsLargeEntry}: BatchLimits): Batch => {
	const entries: LogEntry[] = [];
	let sizeBytes = 0;
	for (let next = entryAt(state, index); next !== undefined && entries.length < maxEntries; next = entryAt(state, index + entries.length)) {
		const nextBytes = entryBytes(next);
		const isLargeFirst = allowsLargeEntry && entries.length === 0;
		if (sizeBytes + nextBytes > maxBytes && !isLargeFirst) {
			break;
		}

		entries.push(next);
		sizeBytes += nextBytes;
	}

	return {entries, sizeBytes};
};

/** The first index, among the entries after the snapshot, of the term that the entry at `index` has. */
export const firstIndexOfTermAt = (state: ConsensusState, index: number): number => {
	const term = termAt(state, index);
	let first = index;
	while (first - 1 > snapshotIndexOf(state) && termAt(state, first - 1) === term) {
		first--;
	}

	return first;
};

/** The newest members in the log; they are effective as soon as they are appended. */
export const membersInLog = (state: ConsensusState): Members => membersAt(state, lastIndexOf(state));

/** The members according to the log up to `index`. */
export const membersAt = (state: ConsensusState, index: number): Members => {
	for (let position = index - snapshotIndexOf(state) - 1; position >= 0; position--) {
		const {payload} = state.entries[position]!;
		if (payload.type === 'members') {
			return payload.members;
		}
	}

	return state.snapshot?.members ?? state.initialMembers;
};

/** Index of the newest members entry, or 0. */
export const membersIndexInLog = (state: ConsensusState): number => state.entries.findLast(entry => entry.payload.type === 'members')?.index ?? 0;

export const quorumOf = (members: Members): number => Math.floor(members.voters.length / 2) + 1;
