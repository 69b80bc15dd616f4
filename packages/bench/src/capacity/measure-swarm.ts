import {
	createRandom, createSwarm, stepSwarm, type SwarmEffect, type SwarmPeer, type SwarmState,
} from '@bitternpaddle/coordination';
import {heapBytesOf, millisecondsOf} from './heap.js';
import type {Measured} from './measure-state.js';
import {regions, sampleManifestId, zones} from './sample-state.js';
import type {Point} from './slope.js';

const letterHosts = 1500;
const sampleDigest = `sha256:${'cd'.repeat(32)}`;

const peersOf = (count: number): SwarmPeer[] => Array.from({length: count}, (_, index) => ({
	hostId: `host-${index}`, zoneId: `zone-${index % zones}`, regionId: `region-${index % regions}`,
}));

const createMember = (self: SwarmPeer, peers: readonly SwarmPeer[], totalChunks: number, maxNeighbours?: number): {state: SwarmState; effects: SwarmEffect[]} => createSwarm({
	self, manifestId: sampleManifestId, totalChunks, held: [], peers, random: createRandom(7), nowMs: 0, ...(maxNeighbours === undefined ? {} : {maxNeighbours}),
});

/** Memory of what eight neighbours announced, all chunks of each. */
const haveBytes = (chunks: number): number => {
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

/** Real machines of `count` hosts greet each other; then each stores one chunk. */
const messagesPerChunk = (count: number, maxNeighbours: number): number => {
	const peers = peersOf(count);
	const members = new Map<string, SwarmState>();
	let mail: Array<{from: string; effect: SwarmEffect}> = [];
	for (const peer of peers) {
		const {state, effects} = createMember(peer, peers, count, maxNeighbours);
		members.set(peer.hostId, state);
		mail.push(...effects.map(effect => ({from: peer.hostId, effect})));
	}

	while (mail.length > 0) {
		const delivered = mail;
		mail = [];
		for (const {from, effect} of delivered) {
			if (effect.type === 'announce') {
				for (const to of effect.to) {
					const answers = stepSwarm(members.get(to)!, {
						type: 'peerHas', hostId: from, chunks: effect.chunks, isGreeting: effect.isGreeting,
					}, 0);
					mail.push(...answers.map(answer => ({from: to, effect: answer})));
				}
			}
		}
	}

	let messages = 0;
	for (const [number, state] of [...members.values()].entries()) {
		messages += stepSwarm(state, {type: 'stored', chunk: number, source: {type: 'origin'}}, 0)
			.reduce((sum, effect) => sum + (effect.type === 'announce' ? effect.to.length : 0), 0);
	}

	return messages / count;
};

/** One stored chunk in the middle of a transfer, with eight neighbours that hold all. */
const storeMs = (chunks: number): number => {
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

/** A change of peers in the middle of a transfer among the letter's 1,500 hosts. */
const peersMs = (chunks: number): number => {
	const peers = peersOf(letterHosts);
	const {state} = createMember(peers[0]!, peers, chunks);
	return millisecondsOf(() => stepSwarm(state, {type: 'peersChanged', peers}, 0), 3);
};

const manifestBytes = (chunks: number): number => JSON.stringify({
	formatVersion: 1, sizeBytes: chunks * 4_194_304, chunkSizeBytes: 4_194_304, chunkDigests: Array.from({length: chunks}, () => sampleDigest), wholeDigest: sampleDigest,
}).length;

const pointsOf = (sizes: readonly number[], measure: (size: number) => number): Point[] => sizes.map(x => ({x, y: measure(x)}));

export const measureSwarm = async (): Promise<Measured> => ({
	'swarm.have.memory': pointsOf([1000, 2000, 4000, 8000], haveBytes).map(({x, y}) => ({x: x * 8, y})),
	'swarm.have.messages': pointsOf([4, 8, 12, 16], neighbours => messagesPerChunk(100, neighbours)),
	'swarm.store.processor': pointsOf([1000, 2000, 4000, 8000], storeMs),
	'swarm.peers.processor': pointsOf([250, 500, 1000, 2000], peersMs),
	'swarm.manifest.size': pointsOf([1000, 2000, 4000, 8000], manifestBytes),
});
