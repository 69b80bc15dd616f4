import type {ChunkSource, SwarmEffect, SwarmEvent} from '@bitternpaddle/coordination';
import {totalChunks} from './scenario.js';
import type {CreatePolicy, CreatePolicyOptions} from './swarm-run.js';

const neighbourCount = 8;
const maxFetches = 5;
/** Chunks drawn at random before all are looked through. */
const samples = 100;
const timeoutMs = 5000;

/**
 * A swarm without order: random neighbours, a random chunk that one of them
 * has, and whoever finds nothing to fetch asks the origin for a random chunk.
 */
export const createRandomSwarm: CreatePolicy = ({self, peers, random}) => {
	const neighbours = pickNeighbours({self, peers, random});
	const holders = new Map<number, string[]>();
	const held = new Set<number>();
	const fetches = new Map<number, {source: ChunkSource; startedAtMs: number}>();

	const start = (chunk: number, source: ChunkSource, nowMs: number): SwarmEffect => {
		fetches.set(chunk, {source, startedAtMs: nowMs});
		return {type: 'fetch', chunk, source};
	};

	const findChunk = (isFit: (chunk: number) => boolean): number | null => {
		for (let sample = 0; sample < samples; sample++) {
			const chunk = random.between(0, totalChunks - 1);
			if (!held.has(chunk) && !fetches.has(chunk) && isFit(chunk)) {
				return chunk;
			}
		}

		// Few are left; the first after a random place.
		const first = random.between(0, totalChunks - 1);
		for (let offset = 0; offset < totalChunks; offset++) {
			const chunk = (first + offset) % totalChunks;
			if (!held.has(chunk) && !fetches.has(chunk) && isFit(chunk)) {
				return chunk;
			}
		}

		return null;
	};

	const fill = (nowMs: number): SwarmEffect[] => {
		const effects: SwarmEffect[] = [];
		while (fetches.size < maxFetches) {
			const offered = findChunk(chunk => holders.has(chunk));
			if (offered !== null) {
				const known = holders.get(offered)!;
				effects.push(start(offered, {type: 'peer', hostId: known[random.between(0, known.length - 1)]!}, nowMs));
				continue;
			}

			const wanted = fetches.size === 0 ? findChunk(() => true) : null;
			if (wanted === null) {
				break;
			}

			effects.push(start(wanted, {type: 'origin'}, nowMs));
		}

		return effects;
	};

	const forget = (chunk: number, hostId: string): void => {
		const left = (holders.get(chunk) ?? []).filter(holder => holder !== hostId);
		if (left.length === 0) {
			holders.delete(chunk);
		} else {
			holders.set(chunk, left);
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

		return [...effects, ...fill(nowMs)];
	};

	const onTick = (nowMs: number): SwarmEffect[] => {
		const effects: SwarmEffect[] = [];
		for (const [chunk, {source, startedAtMs}] of fetches) {
			if (nowMs - startedAtMs > timeoutMs) {
				fetches.delete(chunk);
				effects.push({type: 'cancel', chunk, source});
				if (source.type === 'peer') {
					forget(chunk, source.hostId);
				}
			}
		}

		return [...effects, ...fill(nowMs)];
	};

	const step = (event: SwarmEvent, nowMs: number): SwarmEffect[] => {
		switch (event.type) {
			case 'peerHas': {
				for (const chunk of event.chunks) {
					if (!held.has(chunk)) {
						holders.set(chunk, [...holders.get(chunk) ?? [], event.hostId]);
					}
				}

				return fill(nowMs);
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
