import type {ChunkSource, SwarmEffect, SwarmEvent} from '@bitternpaddle/coordination';
import {totalChunks} from './scenario.js';
import type {CreatePolicy, CreatePolicyOptions} from './swarm-run.js';

const neighbourCount = 8;
const maxFetches = 5;
/** Random samples that are tried before all chunks are scanned. */
const maxSamples = 100;
const timeoutMs = 5000;

/**
 * A swarm with random choices: a host fetches random chunks that its random neighbours
 * hold, and requests a random chunk from the origin if there is nothing to fetch.
 */
export const createRandomSwarm: CreatePolicy = ({self, peers, random}) => {
	const neighbours = pickNeighbours({self, peers, random});
	const holders = new Map<number, string[]>();
	const held = new Set<number>();
	const fetches = new Map<number, {source: ChunkSource; startedAtMs: number}>();

	const startFetch = (chunk: number, source: ChunkSource, nowMs: number): SwarmEffect => {
		fetches.set(chunk, {source, startedAtMs: nowMs});
		return {type: 'fetch', chunk, source};
	};

	const findChunk = (isCandidate: (chunk: number) => boolean): number | null => {
		for (let sample = 0; sample < maxSamples; sample++) {
			const chunk = random.between(0, totalChunks - 1);
			if (!held.has(chunk) && !fetches.has(chunk) && isCandidate(chunk)) {
				return chunk;
			}
		}

		// Few candidates are left: take the first one after a random position.
		const first = random.between(0, totalChunks - 1);
		for (let offset = 0; offset < totalChunks; offset++) {
			const chunk = (first + offset) % totalChunks;
			if (!held.has(chunk) && !fetches.has(chunk) && isCandidate(chunk)) {
				return chunk;
			}
		}

		return null;
	};

	const startFetches = (nowMs: number): SwarmEffect[] => {
		const effects: SwarmEffect[] = [];
		while (fetches.size < maxFetches) {
			const offered = findChunk(chunk => holders.has(chunk));
			if (offered !== null) {
				const chunkHolders = holders.get(offered)!;
				effects.push(startFetch(offered, {type: 'peer', hostId: chunkHolders[random.between(0, chunkHolders.length - 1)]!}, nowMs));
				continue;
			}

			const wanted = fetches.size === 0 ? findChunk(() => true) : null;
			if (wanted === null) {
				break;
			}

			effects.push(startFetch(wanted, {type: 'origin'}, nowMs));
		}

		return effects;
	};

	const removeHolder = (chunk: number, hostId: string): void => {
		const remaining = (holders.get(chunk) ?? []).filter(holder => holder !== hostId);
		if (remaining.length === 0) {
			holders.delete(chunk);
		} else {
			holders.set(chunk, remaining);
		}
	};

	const onStored = (chunk: number, nowMs: number): SwarmEffect[] => {
		fetches.delete(chunk);
		held.add(chunk);
		holders.delete(chunk);
		const effects: SwarmEffect[] = [{
			type: 'announce', to: neighbours, chunks: [chunk], isGreeting: false,
		}];
		if (held.size === totalChunks) {
			effects.push({type: 'complete'});
		}

		return [...effects, ...startFetches(nowMs)];
	};

	const onTick = (nowMs: number): SwarmEffect[] => {
		const effects: SwarmEffect[] = [];
		for (const [chunk, {source, startedAtMs}] of fetches) {
			if (nowMs - startedAtMs > timeoutMs) {
				fetches.delete(chunk);
				effects.push({type: 'cancel', chunk, source});
				if (source.type === 'peer') {
					removeHolder(chunk, source.hostId);
				}
			}
		}

		return [...effects, ...startFetches(nowMs)];
	};

	const step = (event: SwarmEvent, nowMs: number): SwarmEffect[] => {
		switch (event.type) {
			case 'peerHas': {
				for (const chunk of event.chunks) {
					if (!held.has(chunk)) {
						holders.set(chunk, [...holders.get(chunk) ?? [], event.hostId]);
					}
				}

				return startFetches(nowMs);
			}

			case 'stored': {
				return onStored(event.chunk, nowMs);
			}

			case 'failed': {
				fetches.delete(event.chunk);
				return [];
			}

			case 'tick': {
				return onTick(nowMs);
			}

			case 'peersChanged': {
				return [];
			}
		}
	};

	return {policy: {step}, effects: []};
};

const pickNeighbours = ({self, peers, random}: Omit<CreatePolicyOptions, 'originCopies'>): string[] => {
	const picked = new Set<string>();
	while (picked.size < Math.min(neighbourCount, peers.length - 1)) {
		const {hostId} = peers[random.between(0, peers.length - 1)]!;
		if (hostId !== self.hostId) {
			picked.add(hostId);
		}
	}

	return [...picked];
};
