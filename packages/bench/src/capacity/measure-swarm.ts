import {
	createRandom, createSwarm, stepSwarm, type SwarmEffect, type SwarmPeer, type SwarmState,
} from '@bitternpaddle/coordination';
import {heapBytesOf, millisecondsOf} from './heap.js';
import type {Measured} from './measure-state.js';
import {regions, sampleManifestId, zones} from './sample-state.js';
import type {Point} from './slope.js';

const targetHostCount = 1500;
const transferChunks = 128;
/** Time for a chunk of 4 MiB on a link of 1 Gbit/s. */
const roundMs = 34;
const originChunksPerRound = 2;
const sampleDigest = `sha256:${'cd'.repeat(32)}`;

const peersOf = (count: number): SwarmPeer[] => Array.from({length: count}, (_, index) => ({
	hostId: `host-${index}`, zoneId: `zone-${index % zones}`, regionId: `region-${index % regions}`,
}));

const createMember = (self: SwarmPeer, peers: readonly SwarmPeer[], totalChunks: number, maxNeighbours?: number): {state: SwarmState; effects: SwarmEffect[]} => createSwarm({
	self, manifestId: sampleManifestId, totalChunks, held: [], peers, random: createRandom(7), nowMs: 0, ...(maxNeighbours === undefined ? {} : {maxNeighbours}),
});

/** Returns the memory for the announcements of eight neighbours that hold all chunks. */
const measureAnnouncementBytes = (chunks: number): number => {
	const peers = peersOf(9);
	return heapBytesOf(() => {
		const {state} = createMember(peers[0]!, peers, chunks);
		const all = Array.from({length: chunks}, (_, index) => index);
		for (const hostId of state.neighbours.keys()) {
			stepSwarm(state, {
				type: 'peerHas', hostId, chunks: all, isGreeting: false,
			}, 0);
		}

		return state;
	});
};

type QueuedEffect = {readonly from: string; readonly effect: SwarmEffect};

/** Completes the oldest fetch that can have finished in this round. */
const completeOneFetch = (state: SwarmState, origin: {chunksLeft: number}, nowMs: number): SwarmEffect[] => {
	for (const [chunk, [fetch]] of state.fetches) {
		const {source} = fetch!;
		if (source.type === 'peer' || origin.chunksLeft > 0) {
			origin.chunksLeft -= source.type === 'origin' ? 1 : 0;
			return stepSwarm(state, {type: 'stored', chunk, source}, nowMs);
		}
	}

	return [];
};

/** Simulates a transfer among the real state machines, in rounds in which each host receives one chunk and the origin serves two; returns the messages per chunk and host. */
const messagesPerChunk = (hosts: number, maxNeighbours: number): number => {
	const peers = peersOf(hosts);
	const members = new Map<string, SwarmState>();
	let queued: QueuedEffect[] = [];
	let messages = 0;
	const enqueue = (from: string, effects: readonly SwarmEffect[]): void => {
		queued.push(...effects.map(effect => ({from, effect})));
	};

	const deliver = (nowMs: number): void => {
		while (queued.length > 0) {
			const delivered = queued;
			queued = [];
			for (const {from, effect} of delivered) {
				for (const to of effect.type === 'announce' ? effect.to : []) {
					messages++;
					const {chunks, isGreeting} = effect as Extract<SwarmEffect, {type: 'announce'}>;
					enqueue(to, stepSwarm(members.get(to)!, {
						type: 'peerHas', hostId: from, chunks, isGreeting,
					}, nowMs));
				}
			}
		}
	};

	for (const peer of peers) {
		const {state, effects} = createMember(peer, peers, transferChunks, maxNeighbours);
		members.set(peer.hostId, state);
		enqueue(peer.hostId, effects);
	}

	const isDone = (): boolean => [...members.values()].every(({held}) => held.size === transferChunks);
	for (let nowMs = 0; !isDone(); nowMs += roundMs) {
		deliver(nowMs);
		const origin = {chunksLeft: originChunksPerRound};
		for (const [hostId, state] of members) {
			enqueue(hostId, stepSwarm(state, {type: 'tick'}, nowMs));
			enqueue(hostId, completeOneFetch(state, origin, nowMs));
		}
	}

	return messages / hosts / transferChunks;
};

/** Measures storing one chunk during a transfer, with eight neighbours that hold all chunks. */
const measureStoreMs = (chunks: number): number => {
	const peers = peersOf(9);
	const {state} = createMember(peers[0]!, peers, chunks);
	const all = Array.from({length: chunks}, (_, index) => index);
	for (const hostId of state.neighbours.keys()) {
		stepSwarm(state, {
			type: 'peerHas', hostId, chunks: all, isGreeting: false,
		}, 0);
	}

	return millisecondsOf(() => {
		const [chunk] = state.fetches.keys();
		stepSwarm(state, {type: 'stored', chunk: chunk!, source: state.fetches.get(chunk!)![0]!.source}, 0);
	}, 20);
};

/** Measures a host that leaves or joins during a transfer among the 1,500 hosts of the target deployment. */
const measurePeerChangeMs = (chunks: number): number => {
	const peers = peersOf(targetHostCount);
	const {state} = createMember(peers[0]!, peers, chunks);
	let isOneMissing = false;
	return millisecondsOf(() => {
		isOneMissing = !isOneMissing;
		stepSwarm(state, {type: 'peersChanged', peers: isOneMissing ? peers.slice(0, -1) : peers}, 0);
	}, 3);
};

const manifestBytes = (chunks: number): number => JSON.stringify({
	formatVersion: 1, sizeBytes: chunks * 4_194_304, chunkSizeBytes: 4_194_304, chunkDigests: Array.from({length: chunks}, () => sampleDigest), wholeDigest: sampleDigest,
}).length;

const pointsOf = (sizes: readonly number[], measure: (size: number) => number): Point[] => sizes.map(x => ({x, y: measure(x)}));

export const measureSwarm = async (): Promise<Measured> => ({
	'swarm.have.memory': pointsOf([1000, 2000, 4000, 8000], measureAnnouncementBytes).map(({x, y}) => ({x: x * 8, y})),
	'swarm.have.messages': pointsOf([4, 8, 12, 16], neighbours => messagesPerChunk(100, neighbours)),
	'swarm.store.processor': pointsOf([1000, 2000, 4000, 8000], measureStoreMs),
	'swarm.peers.processor': pointsOf([250, 500, 1000, 2000], measurePeerChangeMs),
	'swarm.manifest.size': pointsOf([1000, 2000, 4000, 8000], manifestBytes),
});
