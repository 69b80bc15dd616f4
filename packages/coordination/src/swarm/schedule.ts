import {rendezvousOrder} from '../utils/rendezvous.js';
import {isAvailable} from './exchange.js';
import {pickChunk, setWanted} from './chunk-picker.js';
import {mayImport} from './zone-imports.js';
import type {
	ChunkSource, Neighbour, SwarmEffect, SwarmState,
} from './types.js';

/** Starved for this many takeover times, a host that is no drawer asks the origin itself. */
const starvedTakeovers = 10;
/** A fetch is doubled at the end once it took this many times as long as usual. */
const endGameFactor = 2;

/** Starts what may be fetched now: owned chunks from the origin, then the rarest from neighbours. */
export const schedule = (state: SwarmState, effects: SwarmEffect[], nowMs: number): SwarmEffect[] => {
	if (state.held.size === state.options.totalChunks) {
		return effects;
	}

	drawFromOrigin(state, effects, nowMs);
	fetchFromPeers(state, effects, nowMs);
	return effects;
};

const start = (state: SwarmState, effects: SwarmEffect[], chunk: number, source: ChunkSource, nowMs: number): void => {
	const running = state.fetches.get(chunk);
	if (running === undefined) {
		state.fetches.set(chunk, [{source, startedAtMs: nowMs}]);
		setWanted(state.picker, chunk, false);
	} else {
		running.push({source, startedAtMs: nowMs});
	}

	if (source.type === 'origin') {
		state.originFetches++;
	} else {
		state.peerFetches++;
		state.neighbours.get(source.hostId)!.outstanding++;
	}

	effects.push({type: 'fetch', chunk, source});
};

const origin: ChunkSource = {type: 'origin'};

const drawFromOrigin = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {maxOriginFetches} = state.options;
	if (nowMs < state.originRestUntilMs || state.originFetches >= maxOriginFetches || !knowsNeighbours(state, nowMs)) {
		return;
	}

	// What a neighbour has comes from there; the ticket is for the first copy alone.
	const {ownChunks} = state.tickets;
	while (ownChunks.length > 0 && state.originFetches < maxOriginFetches) {
		const chunk = ownChunks.pop()!;
		if (state.picker.wanted[chunk] === 1 && !isAvailable(state, chunk)) {
			start(state, effects, chunk, origin, nowMs);
		}
	}

	redraw(state, effects, nowMs);
};

/** Of the time before the first further draw of a chunk, what each drawer waits for the one before it. */
const redrawStepShare = 1 / 5;

/** While the origin fails, one further draw tells when it is back, in case that the owners of all that is missing are gone. */
const mostProbes = 1;

/**
 * Draws what the owner has not shown in time, though it may only be slow. Time in
 * which the origin was lost does not count: all drawers would draw all chunks the
 * moment it is back, its link would carry each of them several times, and the
 * version would be whole that much later.
 */
const redraw = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {options: {redrawMs, maxOriginFetches}, tickets: {ranks}, picker} = state;
	const overdueMs = nowMs - state.drawingSinceMs - redrawMs;
	if (overdueMs < 0) {
		return;
	}

	const mostFetches = state.originFailures > 0 ? mostProbes : maxOriginFetches;

	const mostRank = 1 + Math.floor(overdueMs / (redrawMs * redrawStepShare));
	for (const [chunk, rank] of ranks.entries()) {
		if (state.originFetches >= mostFetches) {
			return;
		}

		if (rank > 0 && rank <= mostRank && picker.wanted[chunk] === 1 && !isAvailable(state, chunk)) {
			start(state, effects, chunk, origin, nowMs);
		}
	}
};

/**
 * A host that joins late owns chunks that the others have long had. It learns
 * so from their greetings; until then it draws nothing.
 */
const knowsNeighbours = (state: SwarmState, nowMs: number): boolean => nowMs - state.startedAtMs >= state.options.greetingWaitMs
	|| [...state.neighbours.values()].every(neighbour => neighbour.isHeard);

/** Nobody around has the chunk and nothing fetches it. */
const isAbsent = ({picker}: SwarmState, chunk: number): boolean => picker.wanted[chunk] === 1 && picker.holders[chunk] === 0;

const fetchFromPeers = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {maxFetches, random, originCopies} = state.options;
	while (state.peerFetches + state.originFetches < maxFetches) {
		const available = askable(state, nowMs);
		const picked = available.length === 0 ? null : pickChunk(state.picker, random, chunk => chooseHolder(state, allowedHolders(state, available, chunk, nowMs), chunk));
		if (picked !== null) {
			start(state, effects, picked.chunk, {type: 'peer', hostId: picked.source.hostId}, nowMs);
		} else if (originCopies === 1 || !drawFurtherCopy(state, effects, nowMs)) {
			break;
		}
	}

	if (state.peerFetches + state.originFetches < maxFetches) {
		endGame(state, effects, nowMs);
		askWhenStarved(state, effects, nowMs);
	}
};

const askable = ({options: {maxFetchesPerPeer}, neighbours}: SwarmState, nowMs: number): Neighbour[] => {
	const found: Neighbour[] = [];
	for (const neighbour of neighbours.values()) {
		if (neighbour.outstanding < maxFetchesPerPeer && neighbour.restUntilMs <= nowMs) {
			found.push(neighbour);
		}
	}

	return found;
};

const isNear = ({options: {self}, peers}: SwarmState, {hostId}: Neighbour): boolean => peers.get(hostId)?.zoneId === self.zoneId;

/** Who may be asked for a chunk now: anybody, or where imports take turns, those of the zone until it is this host's turn. */
const allowedHolders = (state: SwarmState, available: readonly Neighbour[], chunk: number, nowMs: number): readonly Neighbour[] => {
	const {options: {importWaitMs}, neighbours, imports} = state;
	if (importWaitMs === 0) {
		return available;
	}

	const near = available.filter(neighbour => isNear(state, neighbour));
	// A near one that has the chunk and is busy now is waited for.
	const isInZone = [...neighbours.values()].some(neighbour => neighbour.have[chunk] === 1 && neighbour.failures === 0 && isNear(state, neighbour));
	return isInZone || !mayImport(imports, chunk, importWaitMs, nowMs) ? near : available;
};

/** The neighbour with the fewest of our requests; ties at random, so that none is everybody's first choice. */
const chooseHolder = ({options: {random}}: SwarmState, available: readonly Neighbour[], chunk: number): Neighbour | null => {
	if (available.length === 0) {
		return null;
	}

	let best: Neighbour | null = null;
	const start = random.between(0, available.length - 1);
	for (let offset = 0; offset < available.length; offset++) {
		const neighbour = available[(start + offset) % available.length]!;
		if (neighbour.have[chunk] === 1 && (best === null || neighbour.outstanding < best.outstanding)) {
			best = neighbour;
		}
	}

	return best;
};

/** With a budget of several copies the origin serves as one more holder, to the first few in rank of each chunk. */
const drawFurtherCopy = (state: SwarmState, effects: SwarmEffect[], nowMs: number): boolean => {
	const {originCopies, maxOriginFetches} = state.options;
	if (nowMs < state.originRestUntilMs || state.originFetches >= maxOriginFetches || !knowsNeighbours(state, nowMs)) {
		return false;
	}

	const chunk = state.tickets.ranks.findIndex((rank, index) => rank > 0 && rank < originCopies && state.picker.wanted[index] === 1);
	if (chunk === -1) {
		return false;
	}

	state.tickets.ranks[chunk] = -1;
	start(state, effects, chunk, origin, nowMs);
	return true;
};

/** Near the end a slow source would hold up the whole version: a second one is asked, and the loser cancelled. */
const endGame = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	if (state.held.size + state.fetches.size < state.options.totalChunks || state.typicalFetchMs === 0) {
		return;
	}

	const available = [...state.neighbours.values()].filter(neighbour => neighbour.outstanding === 0 && neighbour.restUntilMs <= nowMs);
	for (const [chunk, running] of state.fetches) {
		const isSlow = running.length === 1 && nowMs - running[0]!.startedAtMs > endGameFactor * state.typicalFetchMs;
		const holder = isSlow ? chooseHolder(state, allowedHolders(state, available, chunk, nowMs), chunk) : null;
		if (holder !== null) {
			start(state, effects, chunk, {type: 'peer', hostId: holder.hostId}, nowMs);
			return;
		}
	}
};

/**
 * All drawers may be beyond reach of this host while control still counts
 * them as living. Then a version would never become whole here; so after a
 * long wait the living ask by themselves, one after the other for each chunk.
 */
const askWhenStarved = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {self, manifestId, takeoverMs} = state.options;
	const starvedMs = nowMs - state.progressAtMs - (starvedTakeovers * takeoverMs);
	if (starvedMs < 0 || state.fetches.size > 0 || nowMs < state.originRestUntilMs) {
		return;
	}

	const chunk = state.picker.wanted.findIndex((_, index) => isAbsent(state, index));
	if (chunk === -1) {
		return;
	}

	const rank = rendezvousOrder(`${manifestId}/starved/${chunk}`, [self.hostId, ...state.peers.keys()]).indexOf(self.hostId);
	if (starvedMs >= rank * takeoverMs) {
		start(state, effects, chunk, origin, nowMs);
	}
};
