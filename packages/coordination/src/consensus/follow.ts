import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {LogEntry} from '@bitternpaddle/state';
import {
	adoptTerm, changeRole, persistHardState, resetElectionTimer,
} from './elect.js';
import {
	lastIndexOf, membersInLog, snapshotIndexOf, termAt,
} from './log.js';
import {commitTo} from './replicate.js';
import type {ConsensusEffect, ConsensusState} from './types.js';

type MessageOf<Type extends ConsensusMessage['type']> = Extract<ConsensusMessage, {type: Type}>;

const respond = (state: ConsensusState, to: string, success: boolean, matchIndex: number, sentAtMs: number): ConsensusEffect => ({
	type: 'send', to, afterSync: true, message: {
		type: 'appendResponse', term: state.term, success, matchIndex, sentAtMs,
	},
});

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
		return [respond(state, from, false, lastIndexOf(state), request.sentAtMs)];
	}

	const effects = followLeader(state, from, request.term, nowMs);
	const {previousIndex, previousTerm, entries} = request;
	const isBeforeSnapshot = previousIndex < snapshotIndexOf(state);
	if (!isBeforeSnapshot && termAt(state, previousIndex) !== previousTerm) {
		const hint = Math.min(lastIndexOf(state), previousIndex - 1);
		return [...effects, respond(state, from, false, Math.max(hint, snapshotIndexOf(state)), request.sentAtMs)];
	}

	effects.push(...takeEntries(state, entries));
	const matchIndex = Math.max(previousIndex + entries.length, isBeforeSnapshot ? snapshotIndexOf(state) : 0);
	effects.push(...commitTo(state, Math.min(request.commitIndex, matchIndex)));
	return [...effects, respond(state, from, true, matchIndex, request.sentAtMs)];
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
	state.members = membersInLog(state);
	return [{
		type: 'persist', hardState: null, truncateFrom, entries: added,
	}];
};

export const onSnapshotRequest = (state: ConsensusState, from: string, request: MessageOf<'snapshotRequest'>, nowMs: number): ConsensusEffect[] => {
	if (request.term < state.term) {
		return [respond(state, from, false, lastIndexOf(state), request.sentAtMs)];
	}

	const effects = followLeader(state, from, request.term, nowMs);
	const {snapshot} = request;
	if (snapshot.index <= state.commitIndex) {
		return [...effects, respond(state, from, true, state.commitIndex, request.sentAtMs)];
	}

	state.snapshot = snapshot;
	state.entries = [];
	state.commitIndex = snapshot.index;
	state.durableIndex = snapshot.index;
	state.members = membersInLog(state);
	return [
		...effects,
		{type: 'installSnapshot', snapshot, hardState: {term: state.term, votedFor: state.votedFor}},
		respond(state, from, true, snapshot.index, request.sentAtMs),
	];
};
