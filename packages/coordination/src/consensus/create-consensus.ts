import {membersInLog} from './log.js';
import type {ConsensusOptions, ConsensusState} from './types.js';

/**
 * Creates the state of a member after a start. It is treated as if it had just
 * received a message from a leader: a voter that granted a vote immediately
 * after a restart could elect a second leader while the lease that it granted
 * before the restart is still valid.
 */
export const createConsensus = (options: ConsensusOptions): ConsensusState => {
	const {
		selfId, initialMembers, hardState, snapshot, entries, random, nowMs,
		electionTimeoutMs = 600, heartbeatMs = 100, leaseMs = 450, maxBatchEntries = 512, maxBatchBytes = 1024 * 1024, maxProbeBytes = 16 * 1024,
		maxInFlightEntries = 4096, maxInFlightBytes = 4 * 1024 * 1024, maxUncommittedBytes = 16 * 1024 * 1024,
		snapshotTimeoutMs = 5000, snapshotPartLength = 256 * 1024, snapshotPartTimeoutMs = 1000,
	} = options;
	const state: ConsensusState = {
		selfId,
		options: {
			electionTimeoutMs, heartbeatMs, leaseMs, maxBatchEntries, maxBatchBytes, maxProbeBytes, maxInFlightEntries, maxInFlightBytes, maxUncommittedBytes,
			snapshotTimeoutMs, snapshotPartLength, snapshotPartTimeoutMs,
		},
		random,
		incarnation: random.between(1, 2_147_483_647),
		initialMembers,
		role: 'follower',
		term: hardState.term,
		votedFor: hardState.votedFor,
		leaderId: null,
		entries: [...entries],
		snapshot,
		incomingSnapshot: null,
		members: initialMembers,
		commitIndex: snapshot?.index ?? 0,
		durableIndex: (snapshot?.index ?? 0) + entries.length,
		electionDueAtMs: nowMs + random.between(electionTimeoutMs, 2 * electionTimeoutMs),
		lastLeaderMessageAtMs: nowMs,
		contactAtMs: Number.NEGATIVE_INFINITY,
		heartbeatDueAtMs: nowMs,
		votes: new Set(),
		peers: new Map(),
		transferStartedAtMs: null,
	};
	state.members = membersInLog(state);
	return state;
};
