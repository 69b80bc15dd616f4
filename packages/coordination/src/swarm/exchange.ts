import {addHolder, removeHolder} from './chunk-picker.js';
import {chooseNeighbours} from './neighbours.js';
import {recordHolder} from './zone-imports.js';
import {
	ejectFetcher, recordLost, recordSeen, requeueOwned,
} from './origin-tickets.js';
import type {
	FailureReason, Neighbour, SwarmEffect, SwarmEvent, SwarmState,
} from './types.js';

/** A neighbour is replaced after this many consecutive failures. */
const replaceAfterFailures = 4;
const backoffMs = 200;
const maxBackoffMs = 10_000;
/** A replaced neighbour is excluded for this long. */
const exclusionMs = 30_000;
const defaultBusyMs = 50;
/** Minimum backoff of a busy neighbour as a share of the typical fetch time; retrying sooner costs messages without benefit. */
const busyBackoffFactor = 0.5;

const addNeighbour = (state: SwarmState, hostId: string, isChosen: boolean): Neighbour => {
	const neighbour: Neighbour = {
		hostId, have: new Uint8Array(state.options.totalChunks), unannounced: [], isChosen, hasAnnounced: false, outstanding: 0, backoffUntilMs: 0, failures: 0,
	};
	state.neighbours.set(hostId, neighbour);
	return neighbour;
};

const forgetHolder = (state: SwarmState, chunk: number): void => {
	removeHolder(state.picker, chunk);
	if (state.picker.holderCounts[chunk] === 0 && !state.held.has(chunk)) {
		recordLost(state.tickets, chunk);
	}
};

const dropNeighbour = (state: SwarmState, neighbour: Neighbour): void => {
	for (const [chunk, has] of neighbour.have.entries()) {
		if (has === 1) {
			forgetHolder(state, chunk);
		}
	}

	state.neighbours.delete(neighbour.hostId);
};

const isExcluded = ({ejected, excludedUntilMs}: SwarmState, hostId: string, nowMs: number): boolean => ejected.has(hostId)
	|| (excludedUntilMs.get(hostId) ?? 0) > nowMs;

/** Selects the neighbours among the current peers again and greets the new ones. */
export const greetNewNeighbours = (state: SwarmState, nowMs: number): SwarmEffect[] => {
	const {self, manifestId, maxNeighbours} = state.options;
	for (const neighbour of state.neighbours.values()) {
		if (!state.peers.has(neighbour.hostId) || isExcluded(state, neighbour.hostId, nowMs)) {
			dropNeighbour(state, neighbour);
		}
	}

	const usable = [...state.peers.values()].filter(({hostId}) => !isExcluded(state, hostId, nowMs));
	const chosen = new Set(chooseNeighbours({
		self, manifestId, peers: usable, count: maxNeighbours,
	}));
	const greeted: string[] = [];
	for (const hostId of chosen) {
		if (!state.neighbours.has(hostId)) {
			addNeighbour(state, hostId, true);
			greeted.push(hostId);
		}
	}

	for (const neighbour of state.neighbours.values()) {
		neighbour.isChosen = chosen.has(neighbour.hostId);
	}

	return greeted.length === 0
		? []
		: [{
			type: 'announce', to: greeted, chunks: [...state.held], isGreeting: true,
		}];
};

type PeerHasEvent = Extract<SwarmEvent, {type: 'peerHas'}>;

/** Records a peer's announcement of its chunks. A peer that this host did not choose becomes a neighbour while there is spare capacity. */
export const recordAnnouncement = (state: SwarmState, {hostId, chunks, isGreeting}: PeerHasEvent, nowMs: number): SwarmEffect[] => {
	if (isGreeting) {
		// The peer has recovered from a suspension or partition, and may hold chunks from the origin that no other host has.
		state.excludedUntilMs.delete(hostId);
	}

	if (!state.peers.has(hostId) || isExcluded(state, hostId, nowMs)) {
		return [];
	}

	const existing = state.neighbours.get(hostId);
	if (existing === undefined && state.neighbours.size >= 2 * state.options.maxNeighbours) {
		return [];
	}

	const neighbour = existing ?? addNeighbour(state, hostId, false);
	neighbour.hasAnnounced = true;
	if (isGreeting) {
		resetNeighbour(state, neighbour, chunks);
	}

	for (const chunk of chunks) {
		if (neighbour.have[chunk] === 0) {
			neighbour.have[chunk] = 1;
			addHolder(state.picker, chunk);
			recordHolder(state.imports, chunk, nowMs);
			recordSeen(state.tickets, chunk, nowMs);
		}
	}

	if (existing !== undefined && !isGreeting) {
		return [];
	}

	neighbour.unannounced = [];
	return [{
		type: 'announce', to: [hostId], chunks: [...state.held], isGreeting: false,
	}];
};

/**
 * Resets a neighbour whose agent has restarted: it may have lost chunks that it
 * announced before, and does not know what this host has.
 */
const resetNeighbour = (state: SwarmState, neighbour: Neighbour, chunks: readonly number[]): void => {
	const stillHeld = new Set(chunks);
	neighbour.failures = 0;
	neighbour.backoffUntilMs = 0;
	for (const [chunk, has] of neighbour.have.entries()) {
		if (has === 1 && !stillHeld.has(chunk)) {
			neighbour.have[chunk] = 0;
			forgetHolder(state, chunk);
		}
	}
};

export type PeerFailure = {
	readonly chunk: number;
	readonly hostId: string;
	readonly reason: FailureReason;
	readonly retryAfterMs: number | undefined;
	readonly nowMs: number;
};

/** Handles a failed fetch from a neighbour: applies a backoff, replaces the neighbour or ejects it permanently. */
export const onPeerFailure = (state: SwarmState, {chunk, hostId, reason, retryAfterMs, nowMs}: PeerFailure): SwarmEffect[] => {
	const neighbour = state.neighbours.get(hostId);
	if (neighbour === undefined) {
		return [];
	}

	if (reason === 'busy') {
		neighbour.backoffUntilMs = nowMs + Math.max(retryAfterMs ?? defaultBusyMs, busyBackoffFactor * state.typicalFetchMs);
		return [];
	}

	neighbour.failures++;
	neighbour.backoffUntilMs = nowMs + Math.min(maxBackoffMs, backoffMs * (2 ** neighbour.failures));
	if (reason === 'missing' && neighbour.have[chunk] === 1) {
		neighbour.have[chunk] = 0;
		forgetHolder(state, chunk);
	}

	if (neighbour.failures === 1) {
		requeueUnconfirmed(state, neighbour);
	}

	if (reason === 'corrupt' || reason === 'missing') {
		return countBadChunk(state, hostId, nowMs);
	}

	if (neighbour.failures < replaceAfterFailures) {
		return [];
	}

	state.excludedUntilMs.set(hostId, nowMs + exclusionMs);
	return greetNewNeighbours(state, nowMs);
};

/**
 * A peer that announces all chunks but delivers none would prevent the owners of
 * those chunks from fetching them from the origin. After its first failure, its
 * announcements alone do not count.
 */
const requeueUnconfirmed = (state: SwarmState, neighbour: Neighbour): void => {
	for (const [chunk, has] of neighbour.have.entries()) {
		if (has === 1 && !isAvailable(state, chunk)) {
			requeueOwned(state.tickets, chunk);
		}
	}
};

/** Whether the chunk is available from a neighbour whose last fetch did not fail. */
export const isAvailable = ({neighbours}: SwarmState, chunk: number): boolean => {
	for (const {have, failures} of neighbours.values()) {
		if (have[chunk] === 1 && failures === 0) {
			return true;
		}
	}

	return false;
};

/**
 * Faulty memory or false announcements cause repeated corrupt or missing chunks.
 * A corrupt chunk costs a complete transfer, so after a few of them the peer is ejected.
 */
const countBadChunk = (state: SwarmState, hostId: string, nowMs: number): SwarmEffect[] => {
	const badCount = (state.badChunks.get(hostId) ?? 0) + 1;
	state.badChunks.set(hostId, badCount);
	if (badCount < state.options.maxBadChunks) {
		return [];
	}

	state.ejected.add(hostId);
	const effects = greetNewNeighbours(state, nowMs);
	const {self, manifestId} = state.options;
	ejectFetcher(state.tickets, {selfId: self.hostId, manifestId, hostId});
	return [{type: 'setAside', hostId}, ...effects];
};
