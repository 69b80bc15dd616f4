import type {ConsensusMessage} from '@bitternpaddle/protocol';
import {
	changeRole, isVoter, resetElectionTimer, startElection,
} from './elect.js';
import {lastIndexOf} from './log.js';
import {broadcastAppend} from './replicate.js';
import type {ConsensusEffect, ConsensusState} from './types.js';

type TimeoutNow = Extract<ConsensusMessage, {type: 'timeoutNow'}>;

/**
 * Starts a leadership transfer: proposals are rejected from now on, and every
 * member is sent a heartbeat to find out which ones respond.
 *
 * Source: leadership transfer in Ongaro's thesis, section 3.10.
 */
export const onTransferLeadership = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	const hasTarget = state.members.voters.some(voter => voter !== state.selfId);
	if (state.role !== 'leader' || state.transferStartedAtMs !== null || !hasTarget) {
		return [];
	}

	state.transferStartedAtMs = nowMs;
	return broadcastAppend(state, 'heartbeat', nowMs);
};

/** The voter that responded most recently, among those that responded since the transfer started and have every entry on disk. */
const transferTarget = (state: ConsensusState, startedAtMs: number): string | undefined => state.members.voters
	.filter(voter => {
		const progress = state.peers.get(voter);
		return voter !== state.selfId && progress !== undefined && progress.acknowledgedSentAtMs >= startedAtMs && progress.matchIndex === lastIndexOf(state);
	})
	.toSorted((a, b) => state.peers.get(b)!.acknowledgedSentAtMs - state.peers.get(a)!.acknowledgedSentAtMs)
	.at(0);

/**
 * Sends a voter the request to start an election once all proposals are
 * committed, so that each proposer receives its result.
 *
 * The leader becomes a follower before the message is sent and never leads this
 * term again: voters grant votes for a transfer even if they recently received
 * messages from the leader, so a leader that resumed its lease would answer
 * concurrently with the next leader.
 */
export const advanceTransfer = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	const {transferStartedAtMs: startedAtMs, term} = state;
	if (startedAtMs === null || state.commitIndex < lastIndexOf(state)) {
		return [];
	}

	const target = transferTarget(state, startedAtMs);
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

/** Aborts a transfer for which no voter became ready in time. No request to start an election was sent, so the leader can continue. */
export const abortOverdueTransfer = (state: ConsensusState, nowMs: number): void => {
	if (state.transferStartedAtMs !== null && nowMs - state.transferStartedAtMs > state.options.electionTimeoutMs) {
		state.transferStartedAtMs = null;
	}
};

/** Starts an election without a pre-vote. A late or duplicate message belongs to an older term and is ignored. */
export const onTimeoutNow = (state: ConsensusState, {term}: TimeoutNow, nowMs: number): ConsensusEffect[] => term === state.term && state.role !== 'leader' && isVoter(state)
	? startElection(state, nowMs, true)
	: [];
