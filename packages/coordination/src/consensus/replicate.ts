import type {LogEntry} from '@bitternpaddle/state';
import {
	entriesFrom, entryAt, lastIndexOf, membersInLog, quorumOf, snapshotIndexOf, termAt,
} from './log.js';
import type {ConsensusEffect, ConsensusState, PeerProgress} from './types.js';

export const otherMembers = (state: ConsensusState): string[] => [...state.members.voters, ...state.members.learners]
	.filter(member => member !== state.selfId);

const progressOf = (state: ConsensusState, peer: string): PeerProgress => {
	let progress = state.peers.get(peer);
	if (progress === undefined) {
		progress = {
			matchIndex: 0, nextIndex: lastIndexOf(state) + 1, answeredSentAtMs: Number.NEGATIVE_INFINITY, lastSentAtMs: Number.NEGATIVE_INFINITY,
		};
		state.peers.set(peer, progress);
	}

	return progress;
};

/** Sends a member what it lacks, or a heartbeat; the snapshot if the log no longer reaches back. */
export const sendAppend = (state: ConsensusState, peer: string, nowMs: number): ConsensusEffect => {
	const progress = progressOf(state, peer);
	progress.lastSentAtMs = nowMs;
	const previousIndex = progress.nextIndex - 1;
	const previousTerm = termAt(state, previousIndex);
	if (previousTerm === null || previousIndex < snapshotIndexOf(state)) {
		return {
			type: 'send', to: peer, afterSync: false, message: {
				type: 'snapshotRequest', term: state.term, snapshot: state.snapshot!, sentAtMs: nowMs,
			},
		};
	}

	const entries = entriesFrom(state, progress.nextIndex, state.options.maxBatchEntries);
	// Sent on without waiting for the answer; a lost message shows as a refused one, which sets `nextIndex` back.
	progress.nextIndex += entries.length;
	return {
		type: 'send', to: peer, afterSync: false, message: {
			type: 'appendRequest', term: state.term, previousIndex, previousTerm, entries, commitIndex: state.commitIndex, sentAtMs: nowMs,
		},
	};
};

export const broadcastAppend = (state: ConsensusState, nowMs: number): ConsensusEffect[] => otherMembers(state).map(peer => sendAppend(state, peer, nowMs));

/** Appends to this host's own log; the entry counts for it once `persisted` says so. */
export const appendOwn = (state: ConsensusState, payload: LogEntry['payload']): {entry: LogEntry; effects: ConsensusEffect[]} => {
	const entry: LogEntry = {index: lastIndexOf(state) + 1, term: state.term, payload};
	state.entries.push(entry);
	state.members = membersInLog(state);
	return {
		entry, effects: [{
			type: 'persist', hardState: null, truncateFrom: null, entries: [entry],
		}],
	};
};

/** Whether an entry of the leader's own term is committed; before that it may not know what is. */
export const commitIsOfOwnTerm = (state: ConsensusState): boolean => termAt(state, state.commitIndex) === state.term;

/** Moves the commit index to what a quorum has on disk. Only entries of the own term count directly. */
export const advanceCommit = (state: ConsensusState): ConsensusEffect[] => {
	const matched = state.members.voters
		.map(voter => voter === state.selfId ? state.durableIndex : state.peers.get(voter)?.matchIndex ?? 0)
		.toSorted((a, b) => b - a);
	const index = matched[quorumOf(state.members) - 1] ?? 0;
	return index > state.commitIndex && termAt(state, index) === state.term ? commitTo(state, index) : [];
};

export const commitTo = (state: ConsensusState, index: number): ConsensusEffect[] => {
	const entries: LogEntry[] = [];
	for (let next = state.commitIndex + 1; next <= index; next++) {
		entries.push(entryAt(state, next)!);
	}

	if (entries.length === 0) {
		return [];
	}

	state.commitIndex = index;
	return [{type: 'commit', entries}];
};
