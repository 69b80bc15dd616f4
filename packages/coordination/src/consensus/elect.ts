import type {ConsensusMessage} from '@bitternpaddle/protocol';
import {lastIndexOf, lastTermOf, quorumOf} from './log.js';
import {appendOwn, broadcastAppend, createProgress} from './replicate.js';
import type {ConsensusEffect, ConsensusRole, ConsensusState} from './types.js';

type MessageOf<Type extends ConsensusMessage['type']> = Extract<ConsensusMessage, {type: Type}>;

export const persistHardState = (state: ConsensusState): ConsensusEffect => ({
	type: 'persist', hardState: {term: state.term, votedFor: state.votedFor}, truncateFrom: null, entries: [],
});

export const resetElectionTimer = (state: ConsensusState, nowMs: number): void => {
	const {electionTimeoutMs} = state.options;
	state.electionDueAtMs = nowMs + state.random.between(electionTimeoutMs, 2 * electionTimeoutMs);
};

export const changeRole = (state: ConsensusState, role: ConsensusRole, leaderId: string | null): ConsensusEffect[] => {
	const isSame = state.role === role && state.leaderId === leaderId;
	state.role = role;
	state.transferStartedAtMs = null;
	state.leaderId = leaderId;
	return isSame
		? []
		: [{
			type: 'roleChanged', role, term: state.term, leaderId,
		}];
};

/** Adopts a later term as a follower that has not voted. */
export const adoptTerm = (state: ConsensusState, term: number, nowMs: number): ConsensusEffect[] => {
	state.term = term;
	state.votedFor = null;
	resetElectionTimer(state, nowMs);
	return [persistHardState(state), ...changeRole(state, 'follower', null)];
};

export const isVoter = (state: ConsensusState): boolean => state.members.voters.includes(state.selfId);

/**
 * Checks whether an election could be won before incrementing the term.
 * Otherwise a host that returns from a partition with a higher term would
 * depose a leader that all other hosts follow.
 */
export const startPreVote = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	resetElectionTimer(state, nowMs);
	if (!isVoter(state)) {
		// A learner that the leader removed must notice that it has no leader, so that it requests to be added again.
		return changeRole(state, 'follower', null);
	}

	const effects = changeRole(state, 'preCandidate', null);
	state.votes = new Set([state.selfId]);
	return [...effects, ...requestVotes(state, {isPreVote: true, isTransfer: false}), ...countVotes(state, nowMs)];
};

/** Starts an election. `isTransfer`: the leader requested it and has stepped down. */
export const startElection = (state: ConsensusState, nowMs: number, isTransfer = false): ConsensusEffect[] => {
	state.term++;
	state.votedFor = state.selfId;
	resetElectionTimer(state, nowMs);
	const effects = [persistHardState(state), ...changeRole(state, 'candidate', null)];
	state.votes = new Set([state.selfId]);
	return [...effects, ...requestVotes(state, {isPreVote: false, isTransfer}), ...countVotes(state, nowMs)];
};

const requestVotes = (state: ConsensusState, {isPreVote, isTransfer}: {isPreVote: boolean; isTransfer: boolean}): ConsensusEffect[] => state.members.voters
	.filter(voter => voter !== state.selfId)
	.map(to => ({
		type: 'send', to, afterSync: true, message: {
			type: 'voteRequest', term: isPreVote ? state.term + 1 : state.term, isPreVote, isTransfer, lastIndex: lastIndexOf(state), lastTerm: lastTermOf(state),
		},
	}));

const countVotes = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	const votes = state.members.voters.filter(voter => state.votes.has(voter));
	if (votes.length < quorumOf(state.members)) {
		return [];
	}

	if (state.role === 'preCandidate') {
		return startElection(state, nowMs);
	}

	return state.role === 'candidate' ? becomeLeader(state, nowMs) : [];
};

/** Takes the leadership and appends an empty entry: once it is committed, all earlier entries are known to be committed too. */
const becomeLeader = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	const effects = changeRole(state, 'leader', state.selfId);
	state.peers = new Map();
	state.heartbeatDueAtMs = nowMs + state.options.heartbeatMs;
	const {effects: appended} = appendOwn(state, {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}});
	for (const member of [...state.members.voters, ...state.members.learners]) {
		state.peers.set(member, createProgress(lastIndexOf(state)));
	}

	return [...effects, ...appended, ...broadcastAppend(state, 'heartbeat', nowMs)];
};

export const onVoteRequest = (state: ConsensusState, from: string, request: MessageOf<'voteRequest'>, nowMs: number): ConsensusEffect[] => {
	const effects: ConsensusEffect[] = [];
	// A voter that recently received a message from a leader refuses, so that the lease that it granted stays exclusive. A leader that transfers the leadership has given up its lease.
	const followsLeader = request.isTransfer !== true && (state.role === 'leader' || nowMs < state.lastLeaderMessageAtMs + state.options.electionTimeoutMs);
	const isCurrent = request.lastTerm > lastTermOf(state)
		|| (request.lastTerm === lastTermOf(state) && request.lastIndex >= lastIndexOf(state));
	if (request.isPreVote) {
		const granted = !followsLeader && isCurrent && request.term > state.term;
		return [voteResponse(from, granted ? request.term : state.term, true, granted)];
	}

	if (followsLeader && request.term > state.term) {
		return [voteResponse(from, state.term, false, false)];
	}

	if (request.term > state.term) {
		effects.push(...adoptTerm(state, request.term, nowMs));
	}

	const isFree = state.votedFor === null || state.votedFor === from;
	// A host grants its vote even if it does not know yet that it is a voter; the candidate's log determines the voters.
	const granted = request.term === state.term && isCurrent && isFree;
	if (granted) {
		state.votedFor = from;
		resetElectionTimer(state, nowMs);
		effects.push(persistHardState(state));
	}

	return [...effects, voteResponse(from, state.term, false, granted)];
};

const voteResponse = (to: string, term: number, isPreVote: boolean, granted: boolean): ConsensusEffect => ({
	type: 'send', to, afterSync: true, message: {
		type: 'voteResponse', term, isPreVote, granted,
	},
});

export const onVoteResponse = (state: ConsensusState, from: string, response: MessageOf<'voteResponse'>, nowMs: number): ConsensusEffect[] => {
	if (!response.granted) {
		return response.term > state.term ? adoptTerm(state, response.term, nowMs) : [];
	}

	const isAwaited = response.isPreVote
		? state.role === 'preCandidate' && response.term === state.term + 1
		: state.role === 'candidate' && response.term === state.term;
	if (!isAwaited) {
		return [];
	}

	state.votes.add(from);
	return countVotes(state, nowMs);
};
