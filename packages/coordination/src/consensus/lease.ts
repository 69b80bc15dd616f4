import {quorumOf, termAt} from './log.js';
import type {ConsensusState} from './types.js';

/** Whether an entry of the leader's own term is committed; before that it may not know what is. */
export const commitIsOfOwnTerm = (state: ConsensusState): boolean => termAt(state, state.commitIndex) === state.term;

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

/**
 * Whether this host's copy may be served: a short while ago it held all that
 * was committed, and the leader that said so had a quorum. A host that hears a
 * leader but lags, or hears one that was cut off from the rest, would renew
 * leases on a configuration that has been replaced.
 */
export const isInContact = (state: ConsensusState, nowMs: number): boolean => state.role === 'leader'
	? hasLeaderLease(state, nowMs)
	: state.leaderId !== null && nowMs < state.contactAtMs + state.options.electionTimeoutMs;
