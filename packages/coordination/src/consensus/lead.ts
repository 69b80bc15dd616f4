import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry, Members} from '@bitternpaddle/state';
import {adoptTerm, changeRole, resetElectionTimer} from './elect.js';
import {commitIsOfOwnTerm, quorumHeardAtMs} from './lease.js';
import {membersIndexInLog, snapshotIndexOf} from './log.js';
import {
	advanceCommit, appendOwn, broadcastAppend, sendAppend,
} from './replicate.js';
import {advanceTransfer, giveUpTransfer} from './transfer.js';
import type {ConsensusEffect, ConsensusState} from './types.js';

type AppendResponse = Extract<ConsensusMessage, {type: 'appendResponse'}>;

export const onPropose = (state: ConsensusState, token: number, payload: LogEntry['payload'], nowMs: number): ConsensusEffect[] => {
	if (state.role !== 'leader') {
		return [{type: 'rejected', token, reason: 'notLeader'}];
	}

	if (state.transferSinceMs !== null) {
		return [{type: 'rejected', token, reason: 'handingOver'}];
	}

	if (payload.type === 'members') {
		const reason = refuseMembers(state, payload.members);
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
		...broadcastAppend(state, 'news', nowMs),
	];
};

/**
 * Two voter changes at once could leave two quorums without a common voter.
 * The same holds for a change of this term beside one of an older leader that
 * may yet be committed: hence the wait for an entry of the own term.
 */
const refuseMembers = (state: ConsensusState, members: Members): 'membersBusy' | 'invalidMembers' | null => {
	if (membersIndexInLog(state) > state.commitIndex || !commitIsOfOwnTerm(state)) {
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

	progress.answeredSentAtMs = Math.max(progress.answeredSentAtMs, response.sentAtMs ?? Number.NEGATIVE_INFINITY);
	progress.stamp = response.stamp;
	if (!response.success) {
		return onRefusedAppend(state, from, response.matchIndex, nowMs);
	}

	progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex);
	if (progress.mode !== 'snapshot' || progress.matchIndex >= snapshotIndexOf(state)) {
		progress.mode = 'stream';
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
	}

	return [...advanceCommit(state, nowMs), ...sendAppend(state, from, 'answer', nowMs), ...advanceTransfer(state, nowMs)];
};

/** The logs differ before `nextIndex`, or a message on the way was lost or overtaken. */
const onRefusedAppend = (state: ConsensusState, from: string, hintIndex: number, nowMs: number): ConsensusEffect[] => {
	const progress = state.peers.get(from)!;
	if (progress.mode === 'snapshot') {
		return [];
	}

	progress.nextIndex = Math.max(Math.min(progress.nextIndex, hintIndex + 1), progress.matchIndex + 1);
	progress.mode = 'probe';
	return sendAppend(state, from, 'answer', nowMs);
};

export const onLeaderTick = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	giveUpTransfer(state, nowMs);
	// A leader without a quorum makes room: its hosts look for another, and its callers get an error instead of silence.
	if (nowMs - quorumHeardAtMs(state, nowMs) > state.options.electionTimeoutMs && nowMs >= state.electionDueAtMs) {
		resetElectionTimer(state, nowMs);
		return changeRole(state, 'follower', null);
	}

	if (nowMs < state.heartbeatDueAtMs) {
		return [];
	}

	state.heartbeatDueAtMs = nowMs + state.options.heartbeatMs;
	return broadcastAppend(state, 'heartbeat', nowMs);
};
