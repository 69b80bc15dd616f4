import {addHolder, removeHolder} from './chunk-picker.js';
import {chooseNeighbours} from './neighbours.js';
import {noteSeen} from './origin-tickets.js';
import type {
	FailureReason, Neighbour, SwarmEffect, SwarmState,
} from './types.js';

/** A neighbour that failed this often in a row gives its place to another. */
const replaceAfterFailures = 4;
const restMs = 200;
const maxRestMs = 10_000;
const defaultBusyMs = 50;
/** A busy neighbour is asked again after this share of a usual fetch; sooner costs messages and gains nothing. */
const busyRestFactor = 0.5;

const addNeighbour = (state: SwarmState, hostId: string, isChosen: boolean): Neighbour => {
	const neighbour: Neighbour = {
		hostId, have: new Uint8Array(state.options.totalChunks), isChosen, isHeard: false, outstanding: 0, restUntilMs: 0, failures: 0,
	};
	state.neighbours.set(hostId, neighbour);
	return neighbour;
};

const dropNeighbour = (state: SwarmState, neighbour: Neighbour): void => {
	for (const [chunk, has] of neighbour.have.entries()) {
		if (has === 1) {
			removeHolder(state.picker, chunk);
		}
	}

	state.neighbours.delete(neighbour.hostId);
};

/** Chooses neighbours anew among the living and greets those that are new. */
export const greetNewNeighbours = (state: SwarmState): SwarmEffect[] => {
	const {self, manifestId, maxNeighbours} = state.options;
	for (const neighbour of state.neighbours.values()) {
		if (!state.peers.has(neighbour.hostId) || state.setAside.has(neighbour.hostId)) {
			dropNeighbour(state, neighbour);
		}
	}

	const usable = [...state.peers.values()].filter(({hostId}) => !state.setAside.has(hostId)
		&& (state.neighbours.get(hostId)?.failures ?? 0) < replaceAfterFailures);
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

	return greeted.length === 0 ? [] : [{type: 'announce', to: greeted, chunks: [...state.held]}];
};

/** A peer told what it has; one that this host did not choose becomes a neighbour while there is room. */
export const hearPeer = (state: SwarmState, hostId: string, chunks: readonly number[], nowMs: number): SwarmEffect[] => {
	if (!state.peers.has(hostId) || state.setAside.has(hostId)) {
		return [];
	}

	const known = state.neighbours.get(hostId);
	if (known === undefined && state.neighbours.size >= 2 * state.options.maxNeighbours) {
		return [];
	}

	const neighbour = known ?? addNeighbour(state, hostId, false);
	neighbour.isHeard = true;
	for (const chunk of chunks) {
		if (neighbour.have[chunk] === 0) {
			neighbour.have[chunk] = 1;
			addHolder(state.picker, chunk);
			noteSeen(state.tickets, chunk, nowMs);
		}
	}

	return known === undefined ? [{type: 'announce', to: [hostId], chunks: [...state.held]}] : [];
};

export type PeerFailure = {
	readonly chunk: number;
	readonly hostId: string;
	readonly reason: FailureReason;
	readonly retryAfterMs: number | undefined;
	readonly nowMs: number;
};

/** Lets a failing neighbour rest, replaces it, or puts it aside for good. */
export const onPeerFailure = (state: SwarmState, {chunk, hostId, reason, retryAfterMs, nowMs}: PeerFailure): SwarmEffect[] => {
	const neighbour = state.neighbours.get(hostId);
	if (neighbour === undefined) {
		return [];
	}

	if (reason === 'busy') {
		neighbour.restUntilMs = nowMs + Math.max(retryAfterMs ?? defaultBusyMs, busyRestFactor * state.typicalFetchMs);
		return [];
	}

	neighbour.failures++;
	neighbour.restUntilMs = nowMs + Math.min(maxRestMs, restMs * (2 ** neighbour.failures));
	if (reason === 'missing' && neighbour.have[chunk] === 1) {
		neighbour.have[chunk] = 0;
		removeHolder(state.picker, chunk);
	}

	if (reason === 'corrupt' || reason === 'missing') {
		return countBadChunk(state, hostId);
	}

	return neighbour.failures >= replaceAfterFailures && neighbour.isChosen ? greetNewNeighbours(state) : [];
};

/**
 * Bad memory or a lie shows as wrong bytes again and again. Each such chunk
 * costs a whole transfer, so after a few the peer is not asked any more.
 */
const countBadChunk = (state: SwarmState, hostId: string): SwarmEffect[] => {
	const bad = (state.badChunks.get(hostId) ?? 0) + 1;
	state.badChunks.set(hostId, bad);
	if (bad < state.options.maxBadChunks) {
		return [];
	}

	state.setAside.add(hostId);
	return [{type: 'setAside', hostId}, ...greetNewNeighbours(state)];
};
