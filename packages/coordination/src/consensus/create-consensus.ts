import {membersInLog} from './log.js';
import type {ConsensusOptions, ConsensusState} from './types.js';

/**
 * A member as it stands after a start. It counts as having just heard a
 * leader: a voter that granted a vote right after a restart could elect a
 * second leader while the lease that it had granted before still runs.
 */
export const createConsensus = (options: ConsensusOptions): ConsensusState => {
	const {
		selfId, initialMembers, hardState, snapshot, entries, random, nowMs,
		electionTimeoutMs = 600, heartbeatMs = 100, leaseMs = 450, maxBatchEntries = 512,
	} = options;
	const state: ConsensusState = {
		selfId,
		options: {
			electionTimeoutMs, heartbeatMs, leaseMs, maxBatchEntries,
		},
		random,
		initialMembers,
		role: 'follower',
		term: hardState.term,
		votedFor: hardState.votedFor,
		leaderId: null,
		entries: [...entries],
		snapshot,
		members: initialMembers,
		commitIndex: snapshot?.index ?? 0,
		durableIndex: (snapshot?.index ?? 0) + entries.length,
		electionDueAtMs: nowMs + random.between(electionTimeoutMs, 2 * electionTimeoutMs),
		leaderHeardAtMs: nowMs,
		heartbeatDueAtMs: nowMs,
		votes: new Set(),
		peers: new Map(),
	};
	state.members = membersInLog(state);
	return state;
};
