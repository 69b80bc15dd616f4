import {addHolder, removeHolder} from './chunk-picker.js';
import {chooseNeighbours} from './neighbours.js';
import {noteHolder} from './zone-imports.js';
import {noteLost, noteSeen, reclaim} from './origin-tickets.js';
import type {
	FailureReason, Neighbour, SwarmEffect, SwarmEvent, SwarmState,
} from './types.js';

/** A neighbour that failed this often in a row gives its place to another. */
const replaceAfterFailures = 4;
const restMs = 200;
const maxRestMs = 10_000;
/** A neighbour that was replaced is not taken back before this time. */
const avoidMs = 30_000;
const defaultBusyMs = 50;
/** A busy neighbour is asked again after this share of a usual fetch; sooner costs messages and gains nothing. */
const busyRestFactor = 0.5;

const addNeighbour = (state: SwarmState, hostId: string, isChosen: boolean): Neighbour => {
	const neighbour: Neighbour = {
		hostId, have: new Uint8Array(state.options.totalChunks), unannounced: [], isChosen, isHeard: false, outstanding: 0, restUntilMs: 0, failures: 0,
	};
	state.neighbours.set(hostId, neighbour);
	return neighbour;
};

const loseHolder = (state: SwarmState, chunk: number): void => {
	removeHolder(state.picker, chunk);
	if (state.picker.holders[chunk] === 0 && !state.held.has(chunk)) {
		noteLost(state.tickets, chunk);
	}
};

const dropNeighbour = (state: SwarmState, neighbour: Neighbour): void => {
	for (const [chunk, has] of neighbour.have.entries()) {
		if (has === 1) {
			loseHolder(state, chunk);
		}
	}

	state.neighbours.delete(neighbour.hostId);
};

const isLeftOut = ({setAside, avoidedUntilMs}: SwarmState, hostId: string, nowMs: number): boolean => setAside.has(hostId)
	|| (avoidedUntilMs.get(hostId) ?? 0) > nowMs;

/** Chooses neighbours anew among the living and greets those that are new. */
export const greetNewNeighbours = (state: SwarmState, nowMs: number): SwarmEffect[] => {
	const {self, manifestId, maxNeighbours} = state.options;
	for (const neighbour of state.neighbours.values()) {
		if (!state.peers.has(neighbour.hostId) || isLeftOut(state, neighbour.hostId, nowMs)) {
			dropNeighbour(state, neighbour);
		}
	}

	const usable = [...state.peers.values()].filter(({hostId}) => !isLeftOut(state, hostId, nowMs));
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

type PeerHas = Extract<SwarmEvent, {type: 'peerHas'}>;

/** A peer told what it has; one that this host did not choose becomes a neighbour while there is room. */
export const hearPeer = (state: SwarmState, {hostId, chunks, isGreeting}: PeerHas, nowMs: number): SwarmEffect[] => {
	if (isGreeting) {
		// It was frozen or cut off, and is not any more: it may have drawn what nobody else has.
		state.avoidedUntilMs.delete(hostId);
	}

	if (!state.peers.has(hostId) || isLeftOut(state, hostId, nowMs)) {
		return [];
	}

	const known = state.neighbours.get(hostId);
	if (known === undefined && state.neighbours.size >= 2 * state.options.maxNeighbours) {
		return [];
	}

	const neighbour = known ?? addNeighbour(state, hostId, false);
	neighbour.isHeard = true;
	if (isGreeting) {
		restart(state, neighbour, chunks);
	}

	for (const chunk of chunks) {
		if (neighbour.have[chunk] === 0) {
			neighbour.have[chunk] = 1;
			addHolder(state.picker, chunk);
			noteHolder(state.imports, chunk, nowMs);
			noteSeen(state.tickets, chunk, nowMs);
		}
	}

	if (known !== undefined && !isGreeting) {
		return [];
	}

	neighbour.unannounced = [];
	return [{
		type: 'announce', to: [hostId], chunks: [...state.held], isGreeting: false,
	}];
};

/**
 * A neighbour whose agent was restarted may have lost chunks that it announced
 * before, and knows nothing of what this host has.
 */
const restart = (state: SwarmState, neighbour: Neighbour, chunks: readonly number[]): void => {
	const kept = new Set(chunks);
	neighbour.failures = 0;
	neighbour.restUntilMs = 0;
	for (const [chunk, has] of neighbour.have.entries()) {
		if (has === 1 && !kept.has(chunk)) {
			neighbour.have[chunk] = 0;
			loseHolder(state, chunk);
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
		loseHolder(state, chunk);
	}

	if (neighbour.failures === 1) {
		reclaimDoubtful(state, neighbour);
	}

	if (reason === 'corrupt' || reason === 'missing') {
		return countBadChunk(state, hostId, nowMs);
	}

	if (neighbour.failures < replaceAfterFailures) {
		return [];
	}

	state.avoidedUntilMs.set(hostId, nowMs + avoidMs);
	return greetNewNeighbours(state, nowMs);
};

/**
 * A peer that announces everything and delivers nothing would keep the owners
 * of those chunks from the origin. From its first failure on its word alone
 * does not count.
 */
const reclaimDoubtful = (state: SwarmState, neighbour: Neighbour): void => {
	for (const [chunk, has] of neighbour.have.entries()) {
		if (has === 1 && !isAvailable(state, chunk)) {
			reclaim(state.tickets, chunk);
		}
	}
};

/** Whether a neighbour has the chunk that did not fail when last asked. */
export const isAvailable = ({neighbours}: SwarmState, chunk: number): boolean => {
	for (const {have, failures} of neighbours.values()) {
		if (have[chunk] === 1 && failures === 0) {
			return true;
		}
	}

	return false;
};

/**
 * Bad memory or a lie shows as wrong bytes again and again. Each such chunk
 * costs a whole transfer, so after a few the peer is not asked any more.
 */
const countBadChunk = (state: SwarmState, hostId: string, nowMs: number): SwarmEffect[] => {
	const bad = (state.badChunks.get(hostId) ?? 0) + 1;
	state.badChunks.set(hostId, bad);
	if (bad < state.options.maxBadChunks) {
		return [];
	}

	state.setAside.add(hostId);
	return [{type: 'setAside', hostId}, ...greetNewNeighbours(state, nowMs)];
};
