import {quorumOf, termAt} from './log.js';
import type {ConsensusState} from './types.js';

/** Whether an entry of the leader's own term is committed; before that, its commit index may be outdated. */
export const hasCommittedInOwnTerm = (state: ConsensusState): boolean => termAt(state, state.commitIndex) === state.term;

/** The latest time at which a quorum, including this host, is known to have followed the leader. */
export const quorumConfirmedAtMs = (state: ConsensusState, nowMs: number): number => {
	const contactTimes = state.members.voters
		.map(voter => voter === state.selfId ? nowMs : state.peers.get(voter)?.acknowledgedSentAtMs ?? Number.NEGATIVE_INFINITY)
		.toSorted((a, b) => b - a);
	return contactTimes[quorumOf(state.members) - 1] ?? Number.NEGATIVE_INFINITY;
};

/**
 * Whether this host may answer as leader now. A leader that is partitioned or
 * suspended assumes that it leads until it receives a message of a later term;
 * without the lease it would give outdated answers while another leader accepts
 * changes. The lease expires before any voter may elect another leader.
 */
export const hasLeaderLease = (state: ConsensusState, nowMs: number): boolean => state.role === 'leader'
	&& nowMs < quorumConfirmedAtMs(state, nowMs) + state.options.leaseMs
	&& hasCommittedInOwnTerm(state);

/**
 * Whether this host's copy may be served: within the last election timeout it
 * held all committed entries, as confirmed by a leader with a quorum. A host
 * that lags, or that follows a partitioned leader, would renew leases for a
 * configuration that has been replaced.
 */
export const isInContact = (state: ConsensusState, nowMs: number): boolean => state.role === 'leader'
	? hasLeaderLease(state, nowMs)
	: state.leaderId !== null && nowMs < state.contactAtMs + state.options.electionTimeoutMs;
