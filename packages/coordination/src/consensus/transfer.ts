import type {ConsensusMessage} from '@bitternpaddle/protocol';
import {
	changeRole, isVoter, resetElectionTimer, startElection,
} from './elect.js';
import {lastIndexOf} from './log.js';
import {broadcastAppend} from './replicate.js';
import type {ConsensusEffect, ConsensusState} from './types.js';

type TimeoutNow = Extract<ConsensusMessage, {type: 'timeoutNow'}>;

/**
 * Begins to hand the leadership over: no proposal is taken from now on, and
 * every member is asked for a sign of life.
 *
 * Source: leadership transfer in Ongaro's thesis, section 3.10.
 */
export const onTransferLeadership = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	const hasTarget = state.members.voters.some(voter => voter !== state.selfId);
	if (state.role !== 'leader' || state.transferSinceMs !== null || !hasTarget) {
		return [];
	}

	state.transferSinceMs = nowMs;
	return broadcastAppend(state, 'heartbeat', nowMs);
};

/** A voter that answered since the transfer began and has every entry on disk; the one that answered last. */
const transferTarget = (state: ConsensusState, sinceMs: number): string | undefined => state.members.voters
	.filter(voter => {
		const progress = state.peers.get(voter);
		return voter !== state.selfId && progress !== undefined && progress.answeredSentAtMs >= sinceMs && progress.matchIndex === lastIndexOf(state);
	})
	.toSorted((a, b) => state.peers.get(b)!.answeredSentAtMs - state.peers.get(a)!.answeredSentAtMs)
	.at(0);

/**
 * Tells a voter to stand for election once everything that was proposed here is
 * committed, so that each proposer has its answer.
 *
 * The leader is a follower before the message leaves, and never leads this term
 * again: voters grant the transfer's votes while they still hear a leader, so a
 * leader that took its lease up again would answer beside the next one.
 */
export const advanceTransfer = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	const {transferSinceMs: sinceMs, term} = state;
	if (sinceMs === null || state.commitIndex < lastIndexOf(state)) {
		return [];
	}

	const target = transferTarget(state, sinceMs);
	if (target === undefined) {
		return [];
	}

	resetElectionTimer(state, nowMs);
	return [
		...changeRole(state, 'follower', null),
		{
			type: 'send', to: target, afterSync: false, message: {type: 'timeoutNow', term},
		},
	];
};

/** A transfer for which no voter is ready in time is given up; nothing was sent, so the leader goes on. */
export const giveUpTransfer = (state: ConsensusState, nowMs: number): void => {
	if (state.transferSinceMs !== null && nowMs - state.transferSinceMs > state.options.electionTimeoutMs) {
		state.transferSinceMs = null;
	}
};

/** Stands for election without a pre-vote. One that is late or comes twice is of an older term. */
export const onTimeoutNow = (state: ConsensusState, {term}: TimeoutNow, nowMs: number): ConsensusEffect[] => term === state.term && state.role !== 'leader' && isVoter(state)
	? startElection(state, nowMs, true)
	: [];
