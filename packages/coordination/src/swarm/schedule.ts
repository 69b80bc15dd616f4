import {rendezvousOrder} from '../utils/rendezvous.js';
import {isAvailable} from './exchange.js';
import {pickChunk, setWanted} from './chunk-picker.js';
import {mayImport} from './zone-imports.js';
import type {
	ChunkSource, Neighbour, SwarmEffect, SwarmState,
} from './types.js';

/** After this many takeover times without progress, any host may fetch from the origin. */
const starvationTakeovers = 10;
/** Near the end, a fetch that takes this many times the typical fetch time is duplicated. */
const endGameFactor = 2;

/** Starts all fetches that are currently possible: owned chunks from the origin, then the rarest chunks from neighbours. */
export const schedule = (state: SwarmState, effects: SwarmEffect[], nowMs: number): SwarmEffect[] => {
	if (state.held.size === state.options.totalChunks) {
		return effects;
	}

	fetchFromOrigin(state, effects, nowMs);
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

const fetchFromOrigin = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {maxOriginFetches} = state.options;
	if (nowMs < state.originBackoffUntilMs || state.originFetches >= maxOriginFetches || !haveNeighboursAnnounced(state, nowMs)) {
		return;
	}

	// A chunk that a neighbour has is fetched from the neighbour; the ticket permits only the first copy.
	const {ownChunks} = state.tickets;
	while (ownChunks.length > 0 && state.originFetches < maxOriginFetches) {
		const chunk = ownChunks.pop()!;
		if (state.picker.wanted[chunk] === 1 && !isAvailable(state, chunk)) {
			start(state, effects, chunk, origin, nowMs);
		}
	}

	refetchOverdue(state, effects, nowMs);
};

/** Delay between the fetchers that refetch an overdue chunk, as a share of the time before the first refetch. */
const refetchStepShare = 1 / 5;

/** While the origin fails, one refetch at a time probes whether it is back, in case the owners of all missing chunks are lost. */
const maxProbes = 1;

/**
 * Fetches chunks that their owner has not announced in time, although it may only
 * be slow. Time in which the origin was unreachable does not count: otherwise all
 * fetchers would fetch all chunks as soon as it is back, its link would carry each
 * of them several times, and the version would be complete that much later.
 */
const refetchOverdue = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {options: {refetchMs: refetchDelayMs, maxOriginFetches}, tickets: {ranks}, picker} = state;
	const overdueMs = nowMs - state.originAvailableSinceMs - refetchDelayMs;
	if (overdueMs < 0) {
		return;
	}

	const fetchLimit = state.originFailures > 0 ? maxProbes : maxOriginFetches;

	const maxRank = 1 + Math.floor(overdueMs / (refetchDelayMs * refetchStepShare));
	for (const [chunk, rank] of ranks.entries()) {
		if (state.originFetches >= fetchLimit) {
			return;
		}

		if (rank > 0 && rank <= maxRank && picker.wanted[chunk] === 1 && !isAvailable(state, chunk)) {
			start(state, effects, chunk, origin, nowMs);
		}
	}
};

/**
 * A host that joins late may own chunks that the others already have. It learns
 * this from their greetings, and fetches nothing from the origin until then.
 */
const haveNeighboursAnnounced = (state: SwarmState, nowMs: number): boolean => nowMs - state.startedAtMs >= state.options.greetingWaitMs
	|| [...state.neighbours.values()].every(neighbour => neighbour.hasAnnounced);

/** Whether no neighbour has the chunk and it is not being fetched. */
const isAbsent = ({picker}: SwarmState, chunk: number): boolean => picker.wanted[chunk] === 1 && picker.holderCounts[chunk] === 0;

const fetchFromPeers = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {maxFetches, random, originCopies} = state.options;
	while (state.peerFetches + state.originFetches < maxFetches) {
		const available = requestableNeighbours(state, nowMs);
		const picked = available.length === 0 ? null : pickChunk(state.picker, random, chunk => chooseHolder(state, allowedHolders(state, available, chunk, nowMs), chunk));
		if (picked !== null) {
			start(state, effects, picked.chunk, {type: 'peer', hostId: picked.source.hostId}, nowMs);
		} else if (originCopies === 1 || !fetchFurtherCopy(state, effects, nowMs)) {
			break;
		}
	}

	if (state.peerFetches + state.originFetches < maxFetches) {
		endGame(state, effects, nowMs);
		fetchWhenStarved(state, effects, nowMs);
	}
};

const requestableNeighbours = ({options: {maxFetchesPerPeer}, neighbours}: SwarmState, nowMs: number): Neighbour[] => {
	const found: Neighbour[] = [];
	for (const neighbour of neighbours.values()) {
		if (neighbour.outstanding < maxFetchesPerPeer && neighbour.backoffUntilMs <= nowMs) {
			found.push(neighbour);
		}
	}

	return found;
};

const isInOwnZone = ({options: {self}, peers}: SwarmState, {hostId}: Neighbour): boolean => peers.get(hostId)?.zoneId === self.zoneId;

/** The neighbours from which a chunk may be fetched now: any of them or, if zone imports take turns, only those of this zone until it is this host's turn. */
const allowedHolders = (state: SwarmState, available: readonly Neighbour[], chunk: number, nowMs: number): readonly Neighbour[] => {
	const {options: {importWaitMs}, neighbours, imports} = state;
	if (importWaitMs === 0) {
		return available;
	}

	const inOwnZone = available.filter(neighbour => isInOwnZone(state, neighbour));
	// If a neighbour in the zone has the chunk but is busy, this host waits for it.
	const isHeldInOwnZone = [...neighbours.values()].some(neighbour => neighbour.have[chunk] === 1 && neighbour.failures === 0 && isInOwnZone(state, neighbour));
	return isHeldInOwnZone || !mayImport(imports, chunk, importWaitMs, nowMs) ? inOwnZone : available;
};

/** The holder with the fewest outstanding requests of this host; ties are broken at random, so that not all hosts choose the same one. */
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

/** If several copies may leave the origin, it serves as a further holder for the fetchers with the lowest ranks for each chunk. */
const fetchFurtherCopy = (state: SwarmState, effects: SwarmEffect[], nowMs: number): boolean => {
	const {originCopies, maxOriginFetches} = state.options;
	if (nowMs < state.originBackoffUntilMs || state.originFetches >= maxOriginFetches || !haveNeighboursAnnounced(state, nowMs)) {
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

/** Near the end, a slow source would delay the complete version, so the chunk is also requested from a second one; the slower fetch is cancelled. */
const endGame = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	if (state.held.size + state.fetches.size < state.options.totalChunks || state.typicalFetchMs === 0) {
		return;
	}

	const available = [...state.neighbours.values()].filter(neighbour => neighbour.outstanding === 0 && neighbour.backoffUntilMs <= nowMs);
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
 * All fetchers may be unreachable for this host while the control plane still
 * counts them as live. Then a version would never become complete here, so after
 * a long wait the hosts fetch from the origin themselves, one after the other for
 * each chunk.
 */
const fetchWhenStarved = (state: SwarmState, effects: SwarmEffect[], nowMs: number): void => {
	const {self, manifestId, takeoverMs} = state.options;
	const starvedMs = nowMs - state.progressAtMs - (starvationTakeovers * takeoverMs);
	if (starvedMs < 0 || state.fetches.size > 0 || nowMs < state.originBackoffUntilMs) {
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
