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
	matchIndex: 0, nextIndex, answeredSentAtMs: Number.NEGATIVE_INFINITY, mode: 'probe', snapshotSentAtMs: Number.NEGATIVE_INFINITY, stamp: null,
});

const progressOf = (state: ConsensusState, peer: string): PeerProgress => {
	let progress = state.peers.get(peer);
	if (progress === undefined) {
		progress = createProgress(lastIndexOf(state) + 1);
		state.peers.set(peer, progress);
	}

	return progress;
};

/** Why a member is sent something now. */
export type SendCause = 'heartbeat' | 'answer' | 'news' | 'committed';

/** Sends a member what it lacks, within the bounds on what may be on its way. */
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
			return cause === 'news' || cause === 'committed' ? [] : [appendRequest(state, peer, {previousIndex: progress.nextIndex - 1, entries}, nowMs)];
		})
		.with('stream', () => {
			const inFlight = progress.nextIndex - 1 - progress.matchIndex;
			const {maxBatchEntries, maxInFlightEntries} = state.options;
			const entries = entriesFrom(state, progress.nextIndex, Math.max(0, Math.min(maxBatchEntries, maxInFlightEntries - inFlight)));
			if (entries.length === 0 && cause !== 'heartbeat' && cause !== 'committed') {
				return [];
			}

			const previousIndex = progress.nextIndex - 1;
			// Sent on without waiting for the answer; a lost message shows as a refused one, which sets `nextIndex` back.
			progress.nextIndex += entries.length;
			return [appendRequest(state, peer, {previousIndex, entries}, nowMs)];
		})
		.exhaustive();
};

/**
 * One snapshot at a time: sent again with each heartbeat it would fill the
 * link of the very host that is slow to take it. Meanwhile heartbeats behind
 * index 0, where all logs agree, keep the member from standing for election.
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

/** Appends to this host's own log; the entry counts for it once `persisted` says so. */
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
 * Moves the commit index to what a quorum has on disk, and tells the others at
 * once: hosts that watch there would otherwise wait for the next heartbeat.
 * Only entries of the own term count directly.
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
