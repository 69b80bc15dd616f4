import {commitIsOfOwnTerm} from './replicate.js';
import {quorumOf} from './log.js';
import type {ConsensusState} from './types.js';

/** The latest moment at which a quorum, this host included, was known to follow the leader. */
export const quorumHeardAtMs = (state: ConsensusState, nowMs: number): number => {
	const heard = state.members.voters
		.map(voter => voter === state.selfId ? nowMs : state.peers.get(voter)?.answeredSentAtMs ?? Number.NEGATIVE_INFINITY)
		.toSorted((a, b) => b - a);
	return heard[quorumOf(state.members) - 1] ?? Number.NEGATIVE_INFINITY;
};

/**
 * Whether this host may answer as leader now. A leader that was cut off or
 * frozen believes it leads until it hears otherwise; without the lease it
 * would give old answers while another leader accepts changes. The lease ends
 * before any voter may elect another.
 */
export const hasLeaderLease = (state: ConsensusState, nowMs: number): boolean => state.role === 'leader'
	&& nowMs < quorumHeardAtMs(state, nowMs) + state.options.leaseMs
	&& commitIsOfOwnTerm(state);

/** Whether this host heard from a leader so lately that its copy may be served. */
export const isInContact = (state: ConsensusState, nowMs: number): boolean => state.role === 'leader'
	? hasLeaderLease(state, nowMs)
	: state.leaderId !== null && nowMs < state.leaderHeardAtMs + state.options.electionTimeoutMs;
