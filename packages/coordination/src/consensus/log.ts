import type {LogEntry, Members} from '@bitternpaddle/state';
import type {ConsensusState} from './types.js';

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
