import type {Neighbour, SwarmEffect, SwarmState} from './types.js';

/** A chunk held by at most this many neighbours is announced immediately, so that it spreads while it is rare. */
const maxRareHolders = 1;
/** Announcements of common chunks are batched for this many typical fetch times; neighbours have other chunks to fetch meanwhile. */
const batchDelayFactor = 1;
const maxBatchDelayMs = 1000;

/** Announces a stored chunk to the neighbours that lack it: a rare one immediately, a common one in a batch. */
export const announceStored = (state: SwarmState, chunk: number, nowMs: number): SwarmEffect[] => {
	for (const neighbour of state.neighbours.values()) {
		if (neighbour.have[chunk] === 0) {
			neighbour.unannounced.push(chunk);
		}
	}

	const isUrgent = state.picker.holderCounts[chunk]! <= maxRareHolders || state.held.size === state.options.totalChunks;
	if (isUrgent) {
		return announceBatched(state);
	}

	state.announceAtMs ??= nowMs + Math.min(maxBatchDelayMs, batchDelayFactor * state.typicalFetchMs);
	return [];
};

/** Announces the batched chunks once their delay is over. */
export const announceDue = (state: SwarmState, nowMs: number): SwarmEffect[] => state.announceAtMs !== null && nowMs >= state.announceAtMs
	? announceBatched(state)
	: [];

/** Clears the neighbour's batch and returns it without chunks that the neighbour has received from elsewhere meanwhile. */
const takeUnannounced = (neighbour: Neighbour): number[] => {
	const chunks = neighbour.unannounced.filter(chunk => neighbour.have[chunk] === 0);
	neighbour.unannounced = [];
	return chunks;
};

const announceBatched = (state: SwarmState): SwarmEffect[] => {
	state.announceAtMs = null;
	const effects = new Map<string, {type: 'announce'; to: string[]; chunks: number[]; isGreeting: boolean}>();
	for (const neighbour of state.neighbours.values()) {
		const chunks = takeUnannounced(neighbour);
		if (chunks.length === 0) {
			continue;
		}

		const key = chunks.join(',');
		const existing = effects.get(key);
		if (existing === undefined) {
			effects.set(key, {
				type: 'announce', to: [neighbour.hostId], chunks, isGreeting: false,
			});
		} else {
			existing.to.push(neighbour.hostId);
		}
	}

	return [...effects.values()];
};
