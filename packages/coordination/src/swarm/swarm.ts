import {match} from 'ts-pattern';
import {rendezvousOrder} from '../utils/rendezvous.js';
import type {
	ChunkSource, FailureReason, SwarmEffect, SwarmEvent, SwarmOptions, SwarmPeer, SwarmState,
} from './types.js';

export const createSwarm = (options: SwarmOptions): {state: SwarmState; effects: SwarmEffect[]} => {
	const {
		held, peers, maxFetches = 4, takeoverMs = 2000, fetchTimeoutMs = 5000, maxNeighbours = 8, maxBadChunks = 3, ...rest
	} = options;
	const state: SwarmState = {
		options: {
			...rest, maxFetches, takeoverMs, fetchTimeoutMs, maxNeighbours, maxBadChunks,
		},
		peers: new Map(),
		neighbours: [],
		held: new Set(held),
		have: new Map(),
		fetches: new Map(),
		badChunks: new Map(),
		setAside: new Set(),
		ranks: new Map(),
		startedAtMs: options.nowMs,
	};
	const effects = changePeers(state, peers);
	if (state.held.size === rest.totalChunks) {
		effects.push({type: 'complete'});
	}

	return {state, effects};
};

/** One step of the exchange of one manifest's chunks on one host. */
export const stepSwarm = (state: SwarmState, event: SwarmEvent, nowMs: number): SwarmEffect[] => match(event)
	.with({type: 'tick'}, () => onTick(state, nowMs))
	.with({type: 'peersChanged'}, ({peers}) => [...changePeers(state, peers), ...schedule(state, nowMs)])
	.with({type: 'peerHas'}, ({hostId, chunks}) => onPeerHas(state, hostId, chunks, nowMs))
	.with({type: 'stored'}, ({chunk}) => onStored(state, chunk, nowMs))
	.with({type: 'failed'}, ({chunk, source, reason}) => onFailed(state, chunk, source, reason, nowMs))
	.exhaustive();

const changePeers = (state: SwarmState, peers: readonly SwarmPeer[]): SwarmEffect[] => {
	const {self, maxNeighbours, manifestId} = state.options;
	state.peers = new Map(peers.filter(peer => peer.hostId !== self.hostId).map(peer => [peer.hostId, peer]));
	state.ranks.clear();
	for (const hostId of state.have.keys()) {
		if (!state.peers.has(hostId)) {
			state.have.delete(hostId);
		}
	}

	const before = new Set(state.neighbours);
	const usable = [...state.peers.keys()].filter(hostId => !state.setAside.has(hostId));
	state.neighbours = rendezvousOrder(`${manifestId}/${self.hostId}`, usable).slice(0, maxNeighbours);
	return state.neighbours
		.filter(hostId => !before.has(hostId))
		.map(to => ({
			type: 'announce', to, chunks: [...state.held], isGreeting: true,
		}));
};

const onPeerHas = (state: SwarmState, hostId: string, chunks: readonly number[], nowMs: number): SwarmEffect[] => {
	if (!state.peers.has(hostId) || state.setAside.has(hostId)) {
		return [];
	}

	const known = state.have.get(hostId);
	const have = known ?? new Set<number>();
	for (const chunk of chunks) {
		have.add(chunk);
	}

	state.have.set(hostId, have);
	const greeting: SwarmEffect[] = known === undefined && !state.neighbours.includes(hostId)
		? [{
			type: 'announce', to: hostId, chunks: [...state.held], isGreeting: false,
		}]
		: [];
	return [...greeting, ...schedule(state, nowMs)];
};

const onStored = (state: SwarmState, chunk: number, nowMs: number): SwarmEffect[] => {
	const effects: SwarmEffect[] = [];
	state.fetches.delete(chunk);
	if (state.held.has(chunk)) {
		return effects;
	}

	state.held.add(chunk);
	const told = new Set([...state.neighbours, ...state.have.keys()]);
	for (const to of told) {
		effects.push({
			type: 'announce', to, chunks: [chunk], isGreeting: false,
		});
	}

	if (state.held.size === state.options.totalChunks) {
		effects.push({type: 'complete'});
	}

	return [...effects, ...schedule(state, nowMs)];
};

const onFailed = (state: SwarmState, chunk: number, source: ChunkSource, reason: FailureReason, nowMs: number): SwarmEffect[] => {
	state.fetches.delete(chunk);
	if (source.type === 'origin') {
		return [];
	}

	state.have.get(source.hostId)?.delete(chunk);
	if (reason !== 'corrupt' && reason !== 'missing') {
		return schedule(state, nowMs);
	}

	const bad = (state.badChunks.get(source.hostId) ?? 0) + 1;
	state.badChunks.set(source.hostId, bad);
	if (bad < state.options.maxBadChunks) {
		return schedule(state, nowMs);
	}

	state.setAside.add(source.hostId);
	state.have.delete(source.hostId);
	const effects: SwarmEffect[] = [{type: 'setAside', hostId: source.hostId}];
	return [...effects, ...changePeers(state, [...state.peers.values()]), ...schedule(state, nowMs)];
};

const onTick = (state: SwarmState, nowMs: number): SwarmEffect[] => {
	const effects: SwarmEffect[] = [];
	for (const [chunk, {source, startedAtMs}] of state.fetches) {
		if (nowMs - startedAtMs > state.options.fetchTimeoutMs) {
			effects.push({type: 'cancel', chunk, source}, ...onFailed(state, chunk, source, 'stalled', nowMs));
		}
	}

	return [...effects, ...schedule(state, nowMs)];
};

/** Starts fetches: the rarest chunk among the neighbours first, ties at random; owned chunks from the origin. */
const schedule = (state: SwarmState, nowMs: number): SwarmEffect[] => {
	const effects: SwarmEffect[] = [];
	while (state.fetches.size < state.options.maxFetches) {
		const next = nextFetch(state, nowMs);
		if (next === null) {
			break;
		}

		state.fetches.set(next.chunk, {source: next.source, startedAtMs: nowMs});
		effects.push({type: 'fetch', ...next});
	}

	return effects;
};

const nextFetch = (state: SwarmState, nowMs: number): {chunk: number; source: ChunkSource} | null => {
	let best: {chunk: number; source: ChunkSource} | null = null;
	let bestRarity = Number.POSITIVE_INFINITY;
	const {totalChunks, random} = state.options;
	const start = random.between(0, totalChunks - 1);
	for (let offset = 0; offset < totalChunks; offset++) {
		const chunk = (start + offset) % totalChunks;
		if (state.held.has(chunk) || state.fetches.has(chunk)) {
			continue;
		}

		const holders = [...state.have].filter(([, chunks]) => chunks.has(chunk)).map(([hostId]) => hostId);
		if (holders.length === 0) {
			if (bestRarity > 0 && mayAskOrigin(state, chunk, nowMs)) {
				return {chunk, source: {type: 'origin'}};
			}
		} else if (holders.length < bestRarity) {
			bestRarity = holders.length;
			best = {chunk, source: {type: 'peer', hostId: holders[random.between(0, holders.length - 1)]!}};
		}
	}

	return best;
};

/**
 * One living host at a time owns each chunk at the origin; the next in rank
 * takes over after a wait. So one copy leaves the origin, whoever fails.
 */
const mayAskOrigin = (state: SwarmState, chunk: number, nowMs: number): boolean => {
	let rank = state.ranks.get(chunk);
	if (rank === undefined) {
		const {manifestId, self} = state.options;
		rank = rendezvousOrder(`${manifestId}/${chunk}`, [self.hostId, ...state.peers.keys()]).indexOf(self.hostId);
		state.ranks.set(chunk, rank);
	}

	return nowMs - state.startedAtMs >= rank * state.options.takeoverMs;
};
