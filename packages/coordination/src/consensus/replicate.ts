import type {LogEntry} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {hasLeaderLease} from './lease.js';
import {
	entriesFrom, entryAt, lastIndexOf, quorumOf, snapshotIndexOf, termAt,
} from './log.js';
import type {ConsensusEffect, ConsensusState, PeerProgress} from './types.js';

export const otherMembers = (state: ConsensusState): string[] => [...state.members.voters, ...state.members.learners]
	.filter(member => member !== state.selfId);

export const createProgress = (nextIndex: number): PeerProgress => ({
	matchIndex: 0, nextIndex, acknowledgedSentAtMs: Number.NEGATIVE_INFINITY, mode: 'probe', snapshotSentAtMs: Number.NEGATIVE_INFINITY, stamp: null,
});

const progressOf = (state: ConsensusState, peer: string): PeerProgress => {
	let progress = state.peers.get(peer);
	if (progress === undefined) {
		progress = createProgress(lastIndexOf(state) + 1);
		state.peers.set(peer, progress);
	}

	return progress;
};

/** Event that triggers a message to a member: a due heartbeat, the member's response, newly appended entries, or a new commit index. */
export type SendCause = 'heartbeat' | 'answer' | 'update' | 'committed';

/** Sends a member the entries that it lacks, within the limits on unacknowledged entries. */
export const sendAppend = (state: ConsensusState, peer: string, cause: SendCause, nowMs: number): ConsensusEffect[] => {
	const progress = progressOf(state, peer);
	if (progress.mode !== 'snapshot' && progress.nextIndex <= snapshotIndexOf(state)) {
		progress.mode = 'snapshot';
		progress.snapshotSentAtMs = Number.NEGATIVE_INFINITY;
	}

	return match(progress.mode)
		.with('snapshot', () => sendSnapshot(state, peer, cause, nowMs))
		.with('probe', () => {
			const entries = entriesFrom(state, progress.nextIndex, state.options.maxBatchEntries);
			return cause === 'update' || cause === 'committed' ? [] : [appendRequest(state, peer, {previousIndex: progress.nextIndex - 1, entries}, nowMs)];
		})
		.with('stream', () => {
			const inFlight = progress.nextIndex - 1 - progress.matchIndex;
			const {maxBatchEntries, maxInFlightEntries} = state.options;
			const entries = entriesFrom(state, progress.nextIndex, Math.max(0, Math.min(maxBatchEntries, maxInFlightEntries - inFlight)));
			if (entries.length === 0 && cause !== 'heartbeat' && cause !== 'committed') {
				return [];
			}

			const previousIndex = progress.nextIndex - 1;
			// Pipelined without waiting for the response. If a message is lost, a later one is rejected, which resets `nextIndex`.
			progress.nextIndex += entries.length;
			return [appendRequest(state, peer, {previousIndex, entries}, nowMs)];
		})
		.exhaustive();
};

/**
 * Sends at most one snapshot at a time: repeated with each heartbeat, it would
 * saturate the link of a host that is slow to receive it. Meanwhile heartbeats
 * at index 0, where all logs match, prevent the member from starting an election.
 */
const sendSnapshot = (state: ConsensusState, peer: string, cause: SendCause, nowMs: number): ConsensusEffect[] => {
	const progress = progressOf(state, peer);
	if (nowMs - progress.snapshotSentAtMs >= state.options.snapshotTimeoutMs) {
		progress.snapshotSentAtMs = nowMs;
		return [{
			type: 'send', to: peer, afterSync: false, message: {
				type: 'snapshotRequest', term: state.term, snapshot: state.snapshot!, sentAtMs: nowMs,
			},
		}];
	}

	return cause === 'heartbeat' ? [appendRequest(state, peer, {previousIndex: 0, entries: []}, nowMs)] : [];
};

const appendRequest = (state: ConsensusState, to: string, {previousIndex, entries}: {previousIndex: number; entries: LogEntry[]}, nowMs: number): ConsensusEffect => ({
	type: 'send', to, afterSync: false, message: {
		type: 'appendRequest', term: state.term, previousIndex, previousTerm: previousIndex === 0 ? 0 : termAt(state, previousIndex)!, entries,
		commitIndex: state.commitIndex, sentAtMs: nowMs, hasLease: hasLeaderLease(state, nowMs), echo: progressOf(state, to).stamp,
	},
});

export const broadcastAppend = (state: ConsensusState, cause: SendCause, nowMs: number): ConsensusEffect[] => otherMembers(state)
	.flatMap(peer => sendAppend(state, peer, cause, nowMs));

/** Appends to the leader's own log. The entry counts towards its quorum after the `persisted` event. */
export const appendOwn = (state: ConsensusState, payload: LogEntry['payload']): {entry: LogEntry; effects: ConsensusEffect[]} => {
	const entry: LogEntry = {index: lastIndexOf(state) + 1, term: state.term, payload};
	state.entries.push(entry);
	if (payload.type === 'members') {
		state.members = payload.members;
	}

	return {
		entry, effects: [{
			type: 'persist', hardState: null, truncateFrom: null, entries: [entry],
		}],
	};
};

/**
 * Advances the commit index to the entries that a quorum has on disk, and sends
 * it to the other members immediately: hosts that watch there would otherwise
 * wait for the next heartbeat. Only entries of the leader's own term can be
 * committed directly.
 */
export const advanceCommit = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	const matched = state.members.voters
		.map(voter => voter === state.selfId ? state.durableIndex : state.peers.get(voter)?.matchIndex ?? 0)
		.toSorted((a, b) => b - a);
	const index = matched[quorumOf(state.members) - 1] ?? 0;
	return index > state.commitIndex && termAt(state, index) === state.term
		? [...commitTo(state, index), ...broadcastAppend(state, 'committed', nowMs)]
		: [];
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
