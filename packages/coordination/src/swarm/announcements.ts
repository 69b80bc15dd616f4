import type {Neighbour, SwarmEffect, SwarmState} from './types.js';

/** A chunk that no more neighbours than this have is announced at once: it feeds others before it is common. */
const rareHolders = 1;
/** Common chunks are gathered for this many usual fetches: a neighbour has others to fetch meanwhile. */
const gatherFactor = 1;
const maxGatherMs = 1000;

/** Makes a stored chunk known to the neighbours that lack it: a rare one now, a common one with others. */
export const announceStored = (state: SwarmState, chunk: number, nowMs: number): SwarmEffect[] => {
	for (const neighbour of state.neighbours.values()) {
		if (neighbour.have[chunk] === 0) {
			neighbour.unannounced.push(chunk);
		}
	}

	const isUrgent = state.picker.holders[chunk]! <= rareHolders || state.held.size === state.options.totalChunks;
	if (isUrgent) {
		return announceGathered(state);
	}

	state.announceAtMs ??= nowMs + Math.min(maxGatherMs, gatherFactor * state.typicalFetchMs);
	return [];
};

/** Announces what was gathered once its time has come. */
export const announceDue = (state: SwarmState, nowMs: number): SwarmEffect[] => state.announceAtMs !== null && nowMs >= state.announceAtMs
	? announceGathered(state)
	: [];

/** What a neighbour has got from elsewhere meanwhile is news to it no more. */
const takeUnannounced = (neighbour: Neighbour): number[] => {
	const chunks = neighbour.unannounced.filter(chunk => neighbour.have[chunk] === 0);
	neighbour.unannounced = [];
	return chunks;
};

const announceGathered = (state: SwarmState): SwarmEffect[] => {
	state.announceAtMs = null;
	const effects = new Map<string, {type: 'announce'; to: string[]; chunks: number[]; isGreeting: boolean}>();
	for (const neighbour of state.neighbours.values()) {
		const chunks = takeUnannounced(neighbour);
		if (chunks.length === 0) {
			continue;
		}

		const key = chunks.join(',');
		const same = effects.get(key);
		if (same === undefined) {
			effects.set(key, {
				type: 'announce', to: [neighbour.hostId], chunks, isGreeting: false,
			});
		} else {
			same.to.push(neighbour.hostId);
		}
	}

	return [...effects.values()];
};
