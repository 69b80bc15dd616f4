import type {LogEntry, Snapshot} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {hasLeaderLease} from './lease.js';
import {
	batchFrom, entryAt, lastIndexOf, quorumOf, snapshotIndexOf, termAt, type Batch,
} from './log.js';
import type {ConsensusEffect, ConsensusState, PeerProgress} from './types.js';

export const otherMembers = (state: ConsensusState): string[] => [...state.members.voters, ...state.members.learners]
	.filter(member => member !== state.selfId);

export const createProgress = (nextIndex: number): PeerProgress => ({
	matchIndex: 0, nextIndex, acknowledgedSentAtMs: Number.NEGATIVE_INFINITY, mode: 'probe', unacknowledged: [], snapshot: null, snapshotOffset: 0, snapshotSentAtMs: Number.NEGATIVE_INFINITY,
	stamp: null,
});

/** Size of the entries that were sent to a member and that it has not acknowledged. */
export const unacknowledgedBytes = ({unacknowledged}: PeerProgress): number => unacknowledged.reduce((sum, {sizeBytes}) => sum + sizeBytes, 0);

/** Starts a search for the index where the logs match. */
export const startProbe = (progress: PeerProgress, nextIndex: number): void => {
	progress.mode = 'probe';
	progress.nextIndex = nextIndex;
	progress.unacknowledged = [];
};

/** Records that a member holds the leader's log up to `matchIndex`. */
export const recordMatch = (progress: PeerProgress, matchIndex: number): void => {
	progress.matchIndex = Math.max(progress.matchIndex, matchIndex);
	progress.unacknowledged = progress.unacknowledged.filter(({lastIndex}) => lastIndex > progress.matchIndex);
};

const startSnapshot = (progress: PeerProgress): void => {
	progress.mode = 'snapshot';
	progress.unacknowledged = [];
	progress.snapshot = null;
	progress.snapshotSentAtMs = Number.NEGATIVE_INFINITY;
};

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
	const hasSentSnapshot = progress.mode === 'snapshot' && progress.snapshot !== null && progress.matchIndex >= progress.snapshot.index;
	if (hasSentSnapshot || (progress.mode !== 'snapshot' && progress.nextIndex <= snapshotIndexOf(state))) {
		startSnapshot(progress);
	}

	return match(progress.mode)
		.with('snapshot', () => sendSnapshot(state, peer, cause, nowMs))
		.with('probe', () => {
			if (cause === 'update' || cause === 'committed') {
				return [];
			}

			const {maxBatchEntries: maxEntries, maxProbeBytes: maxBytes} = state.options;
			const {entries} = batchFrom(state, progress.nextIndex, {maxEntries, maxBytes, allowsLargeEntry: false});
			return [appendRequest(state, peer, {previousIndex: progress.nextIndex - 1, entries}, nowMs)];
		})
		.with('stream', () => {
			const {entries, sizeBytes} = nextBatch(state, progress);
			if (entries.length === 0 && cause !== 'heartbeat' && cause !== 'committed') {
				return [];
			}

			const previousIndex = progress.nextIndex - 1;
			// Pipelined without waiting for the response. If a message is lost, a later one is rejected, which resets `nextIndex`.
			progress.nextIndex += entries.length;
			if (entries.length > 0) {
				progress.unacknowledged.push({lastIndex: progress.nextIndex - 1, sizeBytes});
			}

			return [appendRequest(state, peer, {previousIndex, entries}, nowMs)];
		})
		.exhaustive();
};

/** The next entries of a member's stream, within the limits on what it has not acknowledged. */
const nextBatch = (state: ConsensusState, progress: PeerProgress): Batch => {
	const {maxBatchEntries, maxBatchBytes, maxInFlightEntries, maxInFlightBytes} = state.options;
	const inFlightEntries = progress.nextIndex - 1 - progress.matchIndex;
	return batchFrom(state, progress.nextIndex, {
		maxEntries: Math.min(maxBatchEntries, maxInFlightEntries - inFlightEntries),
		maxBytes: Math.min(maxBatchBytes, maxInFlightBytes - unacknowledgedBytes(progress)),
		allowsLargeEntry: progress.unacknowledged.length === 0,
	});
};

/**
 * Sends one snapshot, or one part of it, at a time: repeated with each heartbeat, it
 * would saturate the link of a host that is slow to receive it. Meanwhile heartbeats
 * at index 0, where all logs match, prevent the member from starting an election.
 */
const sendSnapshot = (state: ConsensusState, peer: string, cause: SendCause, nowMs: number): ConsensusEffect[] => {
	const progress = progressOf(state, peer);
	const {snapshotTimeoutMs, snapshotPartTimeoutMs} = state.options;
	if (progress.snapshot === null) {
		progress.snapshot = state.snapshot!;
		progress.snapshotOffset = 0;
	}

	const isInParts = isSentInParts(state, progress.snapshot);
	if (nowMs - progress.snapshotSentAtMs >= (isInParts ? snapshotPartTimeoutMs : snapshotTimeoutMs)) {
		progress.snapshotSentAtMs = nowMs;
		return [isInParts ? snapshotPart(state, peer, progress.snapshot, nowMs) : wholeSnapshot(state, peer, progress.snapshot, nowMs)];
	}

	return cause === 'heartbeat' ? [appendRequest(state, peer, {previousIndex: 0, entries: []}, nowMs)] : [];
};

const isSentInParts = ({options}: ConsensusState, snapshot: Snapshot): boolean => snapshot.state.length > options.snapshotPartLength;

const wholeSnapshot = ({term}: ConsensusState, to: string, snapshot: Snapshot, nowMs: number): ConsensusEffect => ({
	type: 'send', to, afterSync: false, message: {
		type: 'snapshotRequest', term, snapshot, sentAtMs: nowMs,
	},
});

const snapshotPart = (state: ConsensusState, to: string, {state: text, ...snapshot}: Snapshot, nowMs: number): ConsensusEffect => {
	const {snapshotOffset: offset} = progressOf(state, to);
	return {
		type: 'send', to, afterSync: false, message: {
			type: 'snapshotPart', term: state.term, snapshot, offset, totalLength: text.length, part: text.slice(offset, offset + state.options.snapshotPartLength), sentAtMs: nowMs,
		},
	};
};

/** Sends the part of the snapshot that follows those that the member has confirmed. */
export const continueSnapshot = (state: ConsensusState, peer: string, receivedLength: number, nowMs: number): ConsensusEffect[] => {
	const progress = progressOf(state, peer);
	const {snapshot} = progress;
	const isRepeated = receivedLength === progress.snapshotOffset;
	if (snapshot === null || isRepeated || receivedLength >= snapshot.state.length) {
		return [];
	}

	progress.snapshotOffset = receivedLength;
	progress.snapshotSentAtMs = nowMs;
	return [snapshotPart(state, peer, snapshot, nowMs)];
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
