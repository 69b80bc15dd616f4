import {announceDue, announceStored} from './announcements.js';
import {createChunkPicker, setWanted} from './chunk-picker.js';
import {greetNewNeighbours, hearPeer, onPeerFailure} from './exchange.js';
import {createOriginTickets, noteSeen, suspectDrawers} from './origin-tickets.js';
import {schedule} from './schedule.js';
import {createZoneImports, rankZoneImports} from './zone-imports.js';
import type {
	ChunkSource, SwarmEffect, SwarmEvent, SwarmOptions, SwarmPeer, SwarmState,
} from './types.js';

type FailedEvent = Extract<SwarmEvent, {type: 'failed'}>;

const minStallMs = 500;
/** A fetch that takes this many times as long as usual has stalled. */
const stallFactor = 6;
/** Of the takeover time: a longer silence of all drawers is the origin's. */
const activeGapShare = 1 / 4;
const typicalWeight = 0.1;
const originRestMs = 250;
/** Well below the takeover time: a drawer that rests longer than the others would seem dead to them. */
const maxOriginRestMs = 800;

export const createSwarm = (options: SwarmOptions): {state: SwarmState; effects: SwarmEffect[]} => {
	const {
		held, peers, maxFetches = 5, maxFetchesPerPeer = 2, maxOriginFetches = 2, originCopies = 1, drawers = 8,
		takeoverMs = 2000, fetchTimeoutMs = 5000, maxNeighbours = 10, maxBadChunks = 3, importWaitMs = 0, greetingWaitMs = 500,
		redrawMs = Number.POSITIVE_INFINITY, nearDrawers = null, ...rest
	} = options;
	const {self, manifestId, totalChunks, nowMs} = rest;
	const seen = new Uint8Array(totalChunks);
	const state: SwarmState = {
		options: {
			...rest, maxFetches, maxFetchesPerPeer, maxOriginFetches, originCopies, drawers, takeoverMs, fetchTimeoutMs, maxNeighbours, maxBadChunks, importWaitMs, greetingWaitMs, redrawMs, nearDrawers,
		},
		peers: new Map(),
		neighbours: new Map(),
		held: new Set(held),
		picker: createChunkPicker(totalChunks),
		fetches: new Map(),
		peerFetches: 0,
		originFetches: 0,
		originFailures: 0,
		originRestUntilMs: nowMs,
		drawingSinceMs: nowMs,
		tickets: createOriginTickets({
			selfId: self.hostId, hostIds: [self.hostId], manifestId, totalChunks, drawers, seen, nowMs, gapMs: takeoverMs * activeGapShare,
		}),
		typicalFetchMs: 0,
		progressAtMs: nowMs,
		announceAtMs: null,
		imports: createZoneImports(totalChunks),
		badChunks: new Map(),
		setAside: new Set(),
		avoidedUntilMs: new Map(),
		startedAtMs: nowMs,
	};
	for (const chunk of held) {
		setWanted(state.picker, chunk, false);
		noteSeen(state.tickets, chunk, nowMs);
	}

	const effects = changePeers(state, peers, nowMs);
	if (state.held.size === totalChunks) {
		effects.push({type: 'complete'});
	}

	return {state, effects};
};

/**
 * One step of the exchange of one manifest's chunks on one host. A plain
 * exhaustive switch: an agent takes this step for every chunk that a neighbour
 * gains, and matching with ts-pattern took a quarter of the time.
 */
export const stepSwarm = (state: SwarmState, event: SwarmEvent, nowMs: number): SwarmEffect[] => {
	switch (event.type) {
		case 'peerHas': {
			return schedule(state, hearPeer(state, event, nowMs), nowMs);
		}

		case 'stored': {
			return onStored(state, event.chunk, event.source, nowMs);
		}

		case 'failed': {
			return schedule(state, onFailed(state, event, nowMs), nowMs);
		}

		case 'tick': {
			return onTick(state, nowMs);
		}

		case 'peersChanged': {
			return schedule(state, changePeers(state, event.peers, nowMs), nowMs);
		}
	}
};

const isSamePeer = (a: SwarmPeer, b: SwarmPeer | undefined): boolean => a.zoneId === b?.zoneId && a.regionId === b.regionId;

const isSamePeers = (a: ReadonlyMap<string, SwarmPeer>, b: ReadonlyMap<string, SwarmPeer>): boolean => a.size === b.size
	&& [...a].every(([hostId, peer]) => isSamePeer(peer, b.get(hostId)));

/**
 * Every change of the catalog comes here, also one that says only that some
 * host is ready. Ranking the chunks anew for each would take all agents'
 * processor time at the same moment, while versions switch, and would forget
 * which drawers are suspected.
 */
const changePeers = (state: SwarmState, peers: readonly SwarmPeer[], nowMs: number): SwarmEffect[] => {
	const {self, manifestId, totalChunks, drawers, takeoverMs} = state.options;
	const next = new Map(peers.filter(peer => peer.hostId !== self.hostId).map(peer => [peer.hostId, peer]));
	if (!isSamePeers(state.peers, next)) {
		state.peers = next;
		state.tickets = createOriginTickets({
			selfId: self.hostId, hostIds: [self.hostId, ...next.keys()], nearIds: nearHosts(state, next), manifestId, totalChunks, drawers,
			seen: state.tickets.seen, nowMs, gapMs: takeoverMs * activeGapShare,
		});
		rankZoneImports(state.imports, {self, manifestId, peers: next.values()});
		return greetNewNeighbours(state, nowMs);
	}

	// A peer that was left out for a while may come back.
	return state.avoidedUntilMs.size === 0 ? [] : greetNewNeighbours(state, nowMs);
};

/** The hosts that should draw before the others. */
const nearHosts = ({options: {self, nearDrawers}}: SwarmState, peers: ReadonlyMap<string, SwarmPeer>): ReadonlySet<string> => {
	if (nearDrawers === null) {
		return new Set();
	}

	const near = [self, ...peers.values()].filter(({zoneId}) => zoneId === nearDrawers.zoneId);
	return new Set(near.length < nearDrawers.least ? [] : near.map(({hostId}) => hostId));
};

/** Chunks come from the origin every few tens of ms; without a new one anywhere for this long it is lost, or cut off. */
const originSilenceMs = 500;

/**
 * Whether the rest of the chunks can be had: hosts have shown them all, or the origin
 * still sends. What hosts pass on among themselves goes on for seconds after the
 * origin is lost, and tells nothing of when the last chunk comes.
 */
export const isRestInReach = ({tickets: {seen, progressAtMs}}: SwarmState, nowMs: number): boolean => nowMs - progressAtMs < originSilenceMs || seen.every(shown => shown === 1);

/** Ends the bookkeeping of one fetch; `null` when it was given up before. */
const endFetch = (state: SwarmState, chunk: number, source: ChunkSource): {startedAtMs: number} | null => {
	const running = state.fetches.get(chunk) ?? [];
	const ended = running.find(fetch => fetch.source.type === source.type && (source.type === 'origin' || (fetch.source as {hostId: string}).hostId === source.hostId));
	if (ended === undefined) {
		return null;
	}

	const others = running.filter(fetch => fetch !== ended);
	if (others.length === 0) {
		state.fetches.delete(chunk);
	} else {
		state.fetches.set(chunk, others);
	}

	if (source.type === 'origin') {
		state.originFetches--;
	} else {
		state.peerFetches--;
		const neighbour = state.neighbours.get(source.hostId);
		if (neighbour !== undefined) {
			// A neighbour that was dropped and came back starts at none.
			neighbour.outstanding = Math.max(0, neighbour.outstanding - 1);
		}
	}

	return ended;
};

const onStored = (state: SwarmState, chunk: number, source: ChunkSource, nowMs: number): SwarmEffect[] => {
	const ended = endFetch(state, chunk, source);
	if (source.type === 'origin') {
		if (state.originFailures > 0) {
			state.drawingSinceMs = nowMs;
		}

		state.originFailures = 0;
	} else {
		const neighbour = state.neighbours.get(source.hostId);
		if (neighbour !== undefined) {
			neighbour.failures = 0;
		}

		if (ended !== null) {
			const tookMs = nowMs - ended.startedAtMs;
			state.typicalFetchMs = state.typicalFetchMs === 0 ? tookMs : state.typicalFetchMs + (typicalWeight * (tookMs - state.typicalFetchMs));
		}
	}

	const effects: SwarmEffect[] = [];
	for (const fetch of state.fetches.get(chunk) ?? []) {
		effects.push({type: 'cancel', chunk, source: fetch.source});
		endFetch(state, chunk, fetch.source);
	}

	if (state.held.has(chunk)) {
		return effects;
	}

	state.held.add(chunk);
	state.progressAtMs = nowMs;
	setWanted(state.picker, chunk, false);
	noteSeen(state.tickets, chunk, nowMs);
	effects.push(...announceStored(state, chunk, nowMs));
	if (state.held.size === state.options.totalChunks) {
		effects.push({type: 'complete'});
	}

	return schedule(state, effects, nowMs);
};

const onFailed = (state: SwarmState, {chunk, source, reason, retryAfterMs}: FailedEvent, nowMs: number): SwarmEffect[] => {
	if (endFetch(state, chunk, source) === null) {
		return [];
	}

	if (!state.held.has(chunk) && !state.fetches.has(chunk)) {
		setWanted(state.picker, chunk, true);
	}

	if (source.type === 'peer') {
		return onPeerFailure(state, {
			chunk, hostId: source.hostId, reason, retryAfterMs, nowMs,
		});
	}

	if (state.tickets.ranks[chunk] === 0) {
		state.tickets.ownChunks.push(chunk);
	}

	state.originFailures++;
	state.originRestUntilMs = nowMs + (retryAfterMs ?? Math.min(maxOriginRestMs, originRestMs * (2 ** state.originFailures)));
	return [];
};

const onTick = (state: SwarmState, nowMs: number): SwarmEffect[] => {
	const effects = announceDue(state, nowMs);
	if (state.held.size === state.options.totalChunks) {
		return effects;
	}

	const {self, manifestId, takeoverMs, fetchTimeoutMs} = state.options;
	const stallMs = state.typicalFetchMs === 0 ? fetchTimeoutMs : Math.max(minStallMs, stallFactor * state.typicalFetchMs);
	const stalled: Array<{chunk: number; source: ChunkSource}> = [];
	for (const [chunk, fetches] of state.fetches) {
		for (const {source, startedAtMs} of fetches) {
			if (nowMs - startedAtMs > (source.type === 'origin' ? Math.max(fetchTimeoutMs, 2 * stallMs) : stallMs)) {
				stalled.push({chunk, source});
			}
		}
	}

	for (const {chunk, source} of stalled) {
		effects.push({type: 'cancel', chunk, source}, ...onFailed(state, {
			type: 'failed', chunk, source, reason: 'stalled',
		}, nowMs));
	}

	suspectDrawers(state.tickets, {
		selfId: self.hostId, manifestId, takeoverMs: Math.max(takeoverMs, stallFactor * state.typicalFetchMs), isOriginFailing: state.originFailures > 0, nowMs,
	});
	return schedule(state, effects, nowMs);
};

