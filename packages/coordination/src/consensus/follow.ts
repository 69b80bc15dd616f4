import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry, Snapshot} from '@bitternpaddle/state';
import {
	adoptTerm, changeRole, persistHardState, resetElectionTimer,
} from './elect.js';
import {
	firstIndexOfTermAt, lastIndexOf, membersInLog, snapshotIndexOf, termAt,
} from './log.js';
import {commitTo} from './replicate.js';
import type {ConsensusEffect, ConsensusState, IncomingSnapshot} from './types.js';

type MessageOf<Type extends ConsensusMessage['type']> = Extract<ConsensusMessage, {type: Type}>;

/** When the leader sent the request, by its clock, and the current time of this host's clock. */
type RequestTimes = {readonly sentAtMs: number | null; readonly nowMs: number};

const respond = (state: ConsensusState, to: string, success: boolean, matchIndex: number, requestTimes: RequestTimes): ConsensusEffect => ({
	type: 'send', to, afterSync: true, message: {
		type: 'appendResponse', term: state.term, success, matchIndex, sentAtMs: requestTimes.sentAtMs, stamp: {incarnation: state.incarnation, atMs: requestTimes.nowMs},
	},
});

/**
 * Rejects a message from a leader of an older term. The response carries the
 * current term, so it must not carry the request's send time: that host may
 * lead again after a restart with a different clock, and would accept the old
 * time as a renewal of its lease.
 */
const rejectOlderTerm = (state: ConsensusState, to: string, nowMs: number): ConsensusEffect[] => [respond(state, to, false, state.commitIndex, {sentAtMs: null, nowMs})];

/** Accepts the sender as the leader of its term. */
const followLeader = (state: ConsensusState, from: string, term: number, nowMs: number): ConsensusEffect[] => {
	const effects = term > state.term ? adoptTerm(state, term, nowMs) : [];
	if (state.votedFor === null) {
		// Must not vote for another host in a term whose leader is known.
		state.votedFor = from;
		effects.push(persistHardState(state));
	}

	state.lastLeaderMessageAtMs = nowMs;
	resetElectionTimer(state, nowMs);
	return [...effects, ...changeRole(state, 'follower', from)];
};

export const onAppendRequest = (state: ConsensusState, from: string, request: MessageOf<'appendRequest'>, nowMs: number): ConsensusEffect[] => {
	if (request.term < state.term) {
		return rejectOlderTerm(state, from, nowMs);
	}

	const effects = followLeader(state, from, request.term, nowMs);
	const requestTimes = {sentAtMs: request.sentAtMs, nowMs};
	const {previousIndex, previousTerm, entries} = request;
	const isBeforeSnapshot = previousIndex < snapshotIndexOf(state);
	if (!isBeforeSnapshot && termAt(state, previousIndex) !== previousTerm) {
		return [...effects, respond(state, from, false, agreementHint(state, previousIndex), requestTimes)];
	}

	effects.push(...appendReceived(state, entries));
	const matchIndex = Math.max(previousIndex + entries.length, isBeforeSnapshot ? snapshotIndexOf(state) : 0);
	effects.push(...commitTo(state, Math.min(request.commitIndex, matchIndex)));
	recordContact(state, request, nowMs);
	return [...effects, respond(state, from, true, matchIndex, requestTimes)];
};

/** The index up to which the logs may match. Skips all conflicting entries of a term at once, and never goes below the commit index. */
const agreementHint = (state: ConsensusState, previousIndex: number): number => {
	const hint = previousIndex > lastIndexOf(state) ? lastIndexOf(state) : firstIndexOfTermAt(state, previousIndex) - 1;
	return Math.max(hint, state.commitIndex);
};

/**
 * Records contact as of this host's own stamp, which the leader echoes: the
 * leader had its quorum after that time. A message that was delayed in a
 * stalled connection, or whose commit index this host has not reached, renews
 * nothing.
 */
const recordContact = (state: ConsensusState, {hasLease, echo, commitIndex}: MessageOf<'appendRequest'>, nowMs: number): void => {
	const isOwnEcho = echo?.incarnation === state.incarnation && echo.atMs <= nowMs;
	if (hasLease && isOwnEcho && state.commitIndex >= commitIndex) {
		state.contactAtMs = Math.max(state.contactAtMs, echo.atMs);
	}
};

/** Appends new entries. Truncates the log only at an actual conflict, because messages may arrive late or twice. */
const appendReceived = (state: ConsensusState, entries: readonly LogEntry[]): ConsensusEffect[] => {
	const firstNew = entries.findIndex(entry => entry.index > snapshotIndexOf(state) && termAt(state, entry.index) !== entry.term);
	if (firstNew === -1) {
		return [];
	}

	const appended = entries.slice(firstNew);
	const fromIndex = appended[0]!.index;
	const truncateFrom = fromIndex <= lastIndexOf(state) ? fromIndex : null;
	state.entries.length = fromIndex - snapshotIndexOf(state) - 1;
	state.entries.push(...appended);
	state.durableIndex = Math.min(state.durableIndex, fromIndex - 1);
	if (truncateFrom !== null || appended.some(entry => entry.payload.type === 'members')) {
		state.members = membersInLog(state);
	}

	return [{
		type: 'persist', hardState: null, truncateFrom, entries: appended,
	}];
};

export const onSnapshotRequest = (state: ConsensusState, from: string, request: MessageOf<'snapshotRequest'>, nowMs: number): ConsensusEffect[] => {
	if (request.term < state.term) {
		return rejectOlderTerm(state, from, nowMs);
	}

	const effects = followLeader(state, from, request.term, nowMs);
	return [...effects, ...receiveSnapshot(state, from, request.snapshot, {sentAtMs: request.sentAtMs, nowMs})];
};

/** Replaces the log by a complete snapshot, unless the log contains its entries. */
const receiveSnapshot = (state: ConsensusState, from: string, snapshot: Snapshot, requestTimes: RequestTimes): ConsensusEffect[] => {
	state.incomingSnapshot = null;
	if (snapshot.index <= state.commitIndex) {
		return [respond(state, from, true, state.commitIndex, requestTimes)];
	}

	if (termAt(state, snapshot.index) === snapshot.term) {
		// A late snapshot that covers entries of this log must not drop the entries after it, which this host has confirmed.
		return [...commitTo(state, snapshot.index), respond(state, from, true, snapshot.index, requestTimes)];
	}

	state.snapshot = snapshot;
	state.entries = [];
	state.commitIndex = snapshot.index;
	state.durableIndex = snapshot.index;
	state.members = membersInLog(state);
	return [
		{type: 'installSnapshot', snapshot, hardState: {term: state.term, votedFor: state.votedFor}},
		respond(state, from, true, snapshot.index, requestTimes),
	];
};

/**
 * Adds a part to those received before. A part of a newer snapshot or of another leader
 * starts anew; parts that are repeated, or follow a lost one, add nothing. Returns `null`
 * for a late part of an older snapshot.
 */
const addSnapshotPart = (state: ConsensusState, from: string, {term, snapshot: {index}, offset, part}: MessageOf<'snapshotPart'>): IncomingSnapshot | null => {
	const current = state.incomingSnapshot;
	const isSameLeader = current?.from === from && current.leaderTerm === term;
	if (isSameLeader && index < current.index) {
		return null;
	}

	const started: IncomingSnapshot = {
		from, leaderTerm: term, index, parts: [], receivedLength: 0,
	};
	const incoming = isSameLeader && index === current.index ? current : started;
	if (offset === incoming.receivedLength) {
		incoming.parts.push(part);
		incoming.receivedLength += part.length;
	}

	state.incomingSnapshot = incoming;
	return incoming;
};

export const onSnapshotPart = (state: ConsensusState, from: string, request: MessageOf<'snapshotPart'>, nowMs: number): ConsensusEffect[] => {
	if (request.term < state.term) {
		return rejectOlderTerm(state, from, nowMs);
	}

	const effects = followLeader(state, from, request.term, nowMs);
	const {snapshot, totalLength, sentAtMs} = request;
	if (snapshot.index <= state.commitIndex) {
		state.incomingSnapshot = null;
		return [...effects, respond(state, from, true, state.commitIndex, {sentAtMs, nowMs})];
	}

	const incoming = addSnapshotPart(state, from, request);
	if (incoming === null) {
		return effects;
	}

	const {parts, receivedLength} = incoming;
	if (receivedLength === totalLength) {
		return [...effects, ...receiveSnapshot(state, from, {...snapshot, state: parts.join('')}, {sentAtMs, nowMs})];
	}

	return [...effects, {
		type: 'send', to: from, afterSync: true, message: {
			type: 'snapshotPartResponse', term: state.term, snapshotIndex: snapshot.index, receivedLength, sentAtMs, stamp: {incarnation: state.incarnation, atMs: nowMs},
		},
	}];
};
