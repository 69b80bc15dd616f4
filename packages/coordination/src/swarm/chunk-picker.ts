import type {Random} from '../utils/random.js';

/**
 * The chunks that this host wants and at least one neighbour has, in buckets by
 * the number of neighbours that have them. Updates and picks take constant
 * time, so they cost the same for a manifest of 100,000 chunks as for one of 100.
 */
export type ChunkPicker = {
	/** Number of neighbours that have each chunk. */
	readonly holderCounts: Uint16Array;
	/** 1 for each chunk that is neither held nor being fetched. */
	readonly wanted: Uint8Array;
	/** Position of each chunk in its bucket; -1 if it is in none. */
	readonly positions: Int32Array;
	/** `buckets[n]` contains the wanted chunks that n neighbours have, for n of at least 1. */
	readonly buckets: number[][];
};

/** Maximum number of chunks tried in each bucket before the next one. */
const triesPerBucket = 12;

export const createChunkPicker = (totalChunks: number): ChunkPicker => ({
	holderCounts: new Uint16Array(totalChunks),
	wanted: new Uint8Array(totalChunks).fill(1),
	positions: new Int32Array(totalChunks).fill(-1),
	buckets: [],
});

const addToBucket = (picker: ChunkPicker, chunk: number): void => {
	const holderCount = picker.holderCounts[chunk]!;
	if (picker.wanted[chunk] === 0 || holderCount === 0) {
		return;
	}

	while (picker.buckets.length <= holderCount) {
		picker.buckets.push([]);
	}

	const bucket = picker.buckets[holderCount]!;
	picker.positions[chunk] = bucket.length;
	bucket.push(chunk);
};

const removeFromBucket = (picker: ChunkPicker, chunk: number): void => {
	const position = picker.positions[chunk]!;
	if (position === -1) {
		return;
	}

	const bucket = picker.buckets[picker.holderCounts[chunk]!]!;
	const last = bucket.pop()!;
	if (last !== chunk) {
		bucket[position] = last;
		picker.positions[last] = position;
	}

	picker.positions[chunk] = -1;
};

export const addHolder = (picker: ChunkPicker, chunk: number): void => {
	removeFromBucket(picker, chunk);
	picker.holderCounts[chunk]!++;
	addToBucket(picker, chunk);
};

export const removeHolder = (picker: ChunkPicker, chunk: number): void => {
	removeFromBucket(picker, chunk);
	picker.holderCounts[chunk]!--;
	addToBucket(picker, chunk);
};

export const setWanted = (picker: ChunkPicker, chunk: number, isWanted: boolean): void => {
	removeFromBucket(picker, chunk);
	picker.wanted[chunk] = isWanted ? 1 : 0;
	addToBucket(picker, chunk);
};

/** Picks the rarest wanted chunk for which `choose` finds a source; ties are broken at random. */
export const pickChunk = <Source>(picker: ChunkPicker, random: Random, choose: (chunk: number) => Source | null): {chunk: number; source: Source} | null => {
	for (const bucket of picker.buckets) {
		if (bucket.length === 0) {
			continue;
		}

		const start = random.between(0, bucket.length - 1);
		const tries = Math.min(triesPerBucket, bucket.length);
		for (let offset = 0; offset < tries; offset++) {
			const chunk = bucket[(start + offset) % bucket.length]!;
			const source = choose(chunk);
			if (source !== null) {
				return {chunk, source};
			}
		}
	}

	return null;
};
