import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {Members, Snapshot} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {onVoteRequest, onVoteResponse, startPreVote} from './elect.js';
import {onAppendRequest, onSnapshotPart, onSnapshotRequest} from './follow.js';
import {
	onAppendResponse, onLeaderTick, onPropose, onSnapshotPartResponse,
} from './lead.js';
import {
	entriesFrom, lastIndexOf, membersInLog, snapshotIndexOf, termAt,
} from './log.js';
import {advanceCommit} from './replicate.js';
import {advanceTransfer, onTimeoutNow, onTransferLeadership} from './transfer.js';
import type {ConsensusEffect, ConsensusEvent, ConsensusState} from './types.js';

/**
 * Implements one step of Raft: processes an event, modifies `state` in place
 * and returns the effects that the host has to perform, in order.
 *
 * Source: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", 2014; pre-vote and one-at-a-time changes from Ongaro's thesis.
 */
export const stepConsensus = (state: ConsensusState, event: ConsensusEvent, nowMs: number): ConsensusEffect[] => match(event)
	.with({type: 'tick'}, () => onTick(state, nowMs))
	.with({type: 'message'}, ({from, message}) => onMessage(state, from, message, nowMs))
	.with({type: 'propose'}, ({token, payload}) => onPropose(state, token, payload, nowMs))
	.with({type: 'persisted'}, ({index, term}) => onPersisted(state, index, term, nowMs))
	.with({type: 'transferLeadership'}, () => onTransferLeadership(state, nowMs))
	.with({type: 'formed'}, ({members}) => onFormed(state, members))
	.with({type: 'compacted'}, ({snapshot}) => onCompacted(state, snapshot))
	.exhaustive();

const onTick = (state: ConsensusState, nowMs: number): ConsensusEffect[] => {
	if (state.role === 'leader') {
		return onLeaderTick(state, nowMs);
	}

	return nowMs >= state.electionDueAtMs ? startPreVote(state, nowMs) : [];
};

const onMessage = (state: ConsensusState, from: string, message: ConsensusMessage, nowMs: number): ConsensusEffect[] => match(message)
	.with({type: 'voteRequest'}, request => onVoteRequest(state, from, request, nowMs))
	.with({type: 'voteResponse'}, response => onVoteResponse(state, from, response, nowMs))
	.with({type: 'appendRequest'}, request => onAppendRequest(state, from, request, nowMs))
	.with({type: 'appendResponse'}, response => onAppendResponse(state, from, response, nowMs))
	.with({type: 'snapshotRequest'}, request => onSnapshotRequest(state, from, request, nowMs))
	.with({type: 'snapshotPart'}, request => onSnapshotPart(state, from, request, nowMs))
	.with({type: 'snapshotPartResponse'}, response => onSnapshotPartResponse(state, from, response, nowMs))
	.with({type: 'timeoutNow'}, request => onTimeoutNow(state, request, nowMs))
	.exhaustive();

const onPersisted = (state: ConsensusState, index: number, term: number, nowMs: number): ConsensusEffect[] => {
	// An entry that was overwritten while it was being synced must not count as durable.
	if (termAt(state, index) === term) {
		state.durableIndex = Math.max(state.durableIndex, index);
	}

	return state.role === 'leader' ? [...advanceCommit(state, nowMs), ...advanceTransfer(state, nowMs)] : [];
};

const onFormed = (state: ConsensusState, members: Members): ConsensusEffect[] => {
	state.initialMembers = members;
	state.members = membersInLog(state);
	return [];
};

const onCompacted = (state: ConsensusState, snapshot: Snapshot): ConsensusEffect[] => {
	if (snapshot.index > snapshotIndexOf(state) && snapshot.index <= state.commitIndex) {
		state.entries = entriesFrom(state, snapshot.index + 1, lastIndexOf(state));
		state.snapshot = snapshot;
	}

	return [];
};
