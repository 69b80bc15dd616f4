import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry, Members} from '@bitternpaddle/state';
import {adoptTerm, changeRole, resetElectionTimer} from './elect.js';
import {hasCommittedInOwnTerm, quorumConfirmedAtMs} from './lease.js';
import {entryBytes, payloadBytes} from './entry-size.js';
import {entriesFrom, membersIndexInLog, snapshotIndexOf} from './log.js';
import {
	advanceCommit, appendOwn, broadcastAppend, continueSnapshot, recordMatch, sendAppend, startProbe,
} from './replicate.js';
import {advanceTransfer, abortOverdueTransfer} from './transfer.js';
import type {ConsensusEffect, ConsensusState} from './types.js';

type AppendResponse = Extract<ConsensusMessage, {type: 'appendResponse'}>;
type SnapshotPartResponse = Extract<ConsensusMessage, {type: 'snapshotPartResponse'}>;

export const onPropose = (state: ConsensusState, token: number, payload: LogEntry['payload'], nowMs: number): ConsensusEffect[] => {
	if (state.role !== 'leader') {
		return [{type: 'rejected', token, reason: 'notLeader'}];
	}

	if (state.transferStartedAtMs !== null) {
		return [{type: 'rejected', token, reason: 'handingOver'}];
	}

	if (isOverUncommittedLimit(state, payload)) {
		return [{type: 'rejected', token, reason: 'tooManyUncommitted'}];
	}

	if (payload.type === 'members') {
		const reason = rejectionReasonOf(state, payload.members);
		if (reason !== null) {
			return [{type: 'rejected', token, reason}];
		}
	}

	const {entry, effects} = appendOwn(state, payload);
	return [
		{
			type: 'proposed', token, index: entry.index, term: entry.term,
		},
		...effects,
		...broadcastAppend(state, 'update', nowMs),
	];
};

/** Without the limit, a leader whose voters are slow to confirm would hold every change that arrives meanwhile. Changes of the members are small and may help. */
const isOverUncommittedLimit = (state: ConsensusState, payload: LogEntry['payload']): boolean => {
	const uncommitted = entriesFrom(state, state.commitIndex + 1, Number.POSITIVE_INFINITY);
	if (payload.type === 'members' || uncommitted.length === 0) {
		return false;
	}

	const sizeBytes = uncommitted.reduce((sum, entry) => sum + entryBytes(entry), 0);
	return sizeBytes + payloadBytes(payload) > state.options.maxUncommittedBytes;
};

/**
 * Returns why a change of the members must be rejected, or `null`. Two
 * concurrent voter changes could leave two quorums without a common voter. The
 * same applies to a change of this term concurrent with one of an older leader
 * that may still be committed; hence the wait for an entry of the leader's own
 * term to be committed.
 */
const rejectionReasonOf = (state: ConsensusState, members: Members): 'membersBusy' | 'invalidMembers' | null => {
	if (membersIndexInLog(state) > state.commitIndex || !hasCommittedInOwnTerm(state)) {
		return 'membersBusy';
	}

	const before = new Set(state.members.voters);
	const after = new Set(members.voters);
	const changed = [...before].filter(voter => !after.has(voter)).length + [...after].filter(voter => !before.has(voter)).length;
	return changed > 1 || after.size === 0 ? 'invalidMembers' : null;
};

export const onAppendResponse = (state: ConsensusState, from: string, response: AppendResponse, nowMs: number): ConsensusEffect[] => {
	if (response.term > state.term) {
		return adoptTerm(state, response.term, nowMs);
	}

	const progress = state.peers.get(from);
	if (state.role !== 'leader' || progress === undefined || response.term < state.term) {
		return [];
	}

	progress.acknowledgedSentAtMs = Math.max(progress.acknowledgedSentAtMs, response.sentAtMs ?? Number.NEGATIVE_INFINITY);
	progress.stamp = response.stamp;
	if (!response.success) {
		return onRejectedAppend(state, from, response.matchIndex, nowMs);
	}

	recordMatch(progress, response.matchIndex);
	if (progress.mode !== 'snapshot' || progress.matchIndex >= snapshotIndexOf(state)) {
		progress.mode = 'stream';
		progress.snapshot = null;
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
	}

	return [...advanceCommit(state, nowMs), ...sendAppend(state, from, 'answer', nowMs), ...advanceTransfer(state, nowMs)];
};

export const onSnapshotPartResponse = (state: ConsensusState, from: string, response: SnapshotPartResponse, nowMs: number): ConsensusEffect[] => {
	const progress = state.peers.get(from);
	if (state.role !== 'leader' || progress === undefined || response.term !== state.term) {
		return [];
	}

	progress.acknowledgedSentAtMs = Math.max(progress.acknowledgedSentAtMs, response.sentAtMs);
	progress.stamp = response.stamp;
	return progress.mode === 'snapshot' && progress.snapshot?.index === response.snapshotIndex
		? continueSnapshot(state, from, response.receivedLength, nowMs)
		: [];
};

/** Handles a rejection: the logs differ before `nextIndex`, or a message was lost or reordered. */
const onRejectedAppend = (state: ConsensusState, from: string, hintIndex: number, nowMs: number): ConsensusEffect[] => {
	const progress = state.peers.get(from)!;
	if (progress.mode === 'snapshot') {
		return [];
	}

	startProbe(progress, Math.max(Math.min(progress.nextIndex, hintIndex + 1), progress.matchIndex + 1));
	return sendAppend(state, from, 'answer', nowMs);
};

export const onLeaderTick = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	abortOverdueTransfer(state, nowMs);
	// A leader without a quorum steps down, so that its hosts search for another leader and its callers get an error instead of no response.
	if (nowMs - quorumConfirmedAtMs(state, nowMs) > state.options.electionTimeoutMs && nowMs >= state.electionDueAtMs) {
		resetElectionTimer(state, nowMs);
		return changeRole(state, 'follower', null);
	}

	if (nowMs < state.heartbeatDueAtMs) {
		return [];
	}

	state.heartbeatDueAtMs = nowMs + state.options.heartbeatMs;
	return broadcastAppend(state, 'heartbeat', nowMs);
};
