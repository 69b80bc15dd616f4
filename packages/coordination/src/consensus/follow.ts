import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry} from '@bitternpaddle/state';
import {
	adoptTerm, changeRole, persistHardState, resetElectionTimer,
} from './elect.js';
import {
	firstIndexOfTermAt, lastIndexOf, membersInLog, snapshotIndexOf, termAt,
} from './log.js';
import {commitTo} from './replicate.js';
import type {ConsensusEffect, ConsensusState} from './types.js';

type MessageOf<Type extends ConsensusMessage['type']> = Extract<ConsensusMessage, {type: Type}>;

/** The request's stamp by the leader's clock, and this host's clock. */
type Answered = {readonly sentAtMs: number | null; readonly nowMs: number};

const respond = (state: ConsensusState, to: string, success: boolean, matchIndex: number, answered: Answered): ConsensusEffect => ({
	type: 'send', to, afterSync: true, message: {
		type: 'appendResponse', term: state.term, success, matchIndex, sentAtMs: answered.sentAtMs, stamp: {incarnation: state.incarnation, atMs: answered.nowMs},
	},
});

/**
 * Refuses a leader of an older term. The answer carries the current term, so
 * it must not carry the stamp: that host may lead again, after a restart with
 * another clock, and would take an old stamp for a fresh renewal.
 */
const refuseOlderTerm = (state: ConsensusState, to: string, nowMs: number): ConsensusEffect[] => [respond(state, to, false, state.commitIndex, {sentAtMs: null, nowMs})];

/** Takes the sender for the leader of its term. */
const followLeader = (state: ConsensusState, from: string, term: number, nowMs: number): ConsensusEffect[] => {
	const effects = term > state.term ? adoptTerm(state, term, nowMs) : [];
	if (state.votedFor === null) {
		// No vote for anybody else in a term whose leader is known.
		state.votedFor = from;
		effects.push(persistHardState(state));
	}

	state.leaderHeardAtMs = nowMs;
	resetElectionTimer(state, nowMs);
	return [...effects, ...changeRole(state, 'follower', from)];
};

export const onAppendRequest = (state: ConsensusState, from: string, request: MessageOf<'appendRequest'>, nowMs: number): ConsensusEffect[] => {
	if (request.term < state.term) {
		return refuseOlderTerm(state, from, nowMs);
	}

	const effects = followLeader(state, from, request.term, nowMs);
	const answered = {sentAtMs: request.sentAtMs, nowMs};
	const {previousIndex, previousTerm, entries} = request;
	const isBeforeSnapshot = previousIndex < snapshotIndexOf(state);
	if (!isBeforeSnapshot && termAt(state, previousIndex) !== previousTerm) {
		return [...effects, respond(state, from, false, agreementHint(state, previousIndex), answered)];
	}

	effects.push(...takeEntries(state, entries));
	const matchIndex = Math.max(previousIndex + entries.length, isBeforeSnapshot ? snapshotIndexOf(state) : 0);
	effects.push(...commitTo(state, Math.min(request.commitIndex, matchIndex)));
	noteContact(state, request, nowMs);
	return [...effects, respond(state, from, true, matchIndex, answered)];
};

/** Where the logs may agree: past a whole term of conflicting entries at once, and never before what is committed. */
const agreementHint = (state: ConsensusState, previousIndex: number): number => {
	const hint = previousIndex > lastIndexOf(state) ? lastIndexOf(state) : firstIndexOfTermAt(state, previousIndex) - 1;
	return Math.max(hint, state.commitIndex);
};

/**
 * Contact counts from this host's own stamp that the leader sent back: the
 * leader had its quorum after that moment. A message that lay in a silent
 * connection, or one that this host can't follow yet, renews nothing.
 */
const noteContact = (state: ConsensusState, {hasLease, echo, commitIndex}: MessageOf<'appendRequest'>, nowMs: number): void => {
	const isOwnEcho = echo?.incarnation === state.incarnation && echo.atMs <= nowMs;
	if (hasLease && isOwnEcho && state.commitIndex >= commitIndex) {
		state.contactAtMs = Math.max(state.contactAtMs, echo.atMs);
	}
};

/** Appends what is new; cuts the own log only at a real conflict, since messages may come late or twice. */
const takeEntries = (state: ConsensusState, entries: readonly LogEntry[]): ConsensusEffect[] => {
	const firstNew = entries.findIndex(entry => entry.index > snapshotIndexOf(state) && termAt(state, entry.index) !== entry.term);
	if (firstNew === -1) {
		return [];
	}

	const added = entries.slice(firstNew);
	const fromIndex = added[0]!.index;
	const truncateFrom = fromIndex <= lastIndexOf(state) ? fromIndex : null;
	state.entries.length = fromIndex - snapshotIndexOf(state) - 1;
	state.entries.push(...added);
	state.durableIndex = Math.min(state.durableIndex, fromIndex - 1);
	if (truncateFrom !== null || added.some(entry => entry.payload.type === 'members')) {
		state.members = membersInLog(state);
	}

	return [{
		type: 'persist', hardState: null, truncateFrom, entries: added,
	}];
};

export const onSnapshotRequest = (state: ConsensusState, from: string, request: MessageOf<'snapshotRequest'>, nowMs: number): ConsensusEffect[] => {
	if (request.term < state.term) {
		return refuseOlderTerm(state, from, nowMs);
	}

	const effects = followLeader(state, from, request.term, nowMs);
	const answered = {sentAtMs: request.sentAtMs, nowMs};
	const {snapshot} = request;
	if (snapshot.index <= state.commitIndex) {
		return [...effects, respond(state, from, true, state.commitIndex, answered)];
	}

	if (termAt(state, snapshot.index) === snapshot.term) {
		// A late snapshot of entries that are here must not drop those behind it, which this host has confirmed.
		return [...effects, ...commitTo(state, snapshot.index), respond(state, from, true, snapshot.index, answered)];
	}

	state.snapshot = snapshot;
	state.entries = [];
	state.commitIndex = snapshot.index;
	state.durableIndex = snapshot.index;
	state.members = membersInLog(state);
	return [
		...effects,
		{type: 'installSnapshot', snapshot, hardState: {term: state.term, votedFor: state.votedFor}},
		respond(state, from, true, snapshot.index, answered),
	];
};
