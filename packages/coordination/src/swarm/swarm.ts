import {announceDue, announceStored} from './announcements.js';
import {createChunkPicker, setWanted} from './chunk-picker.js';
import {
	greetNewNeighbours, isAvailable, onPeerFailure, recordAnnouncement,
} from './exchange.js';
import {
	createOriginTickets, recordSeen, requeueOwned, suspectStalledFetchers,
} from './origin-tickets.js';
import {schedule} from './schedule.js';
import {createZoneImports, rankZoneImports} from './zone-imports.js';
import type {
	ChunkSource, SwarmEffect, SwarmEvent, SwarmOptions, SwarmPeer, SwarmState,
} from './types.js';

type FailedEvent = Extract<SwarmEvent, {type: 'failed'}>;

const minStallMs = 500;
/** A fetch that takes this many times the typical fetch time has stalled. */
const stallFactor = 6;
/** As a share of the takeover time: a longer silence of all fetchers is attributed to the origin. */
const progressGapShare = 1 / 4;
const typicalFetchWeight = 0.1;
const originBackoffMs = 250;
/** Well below the takeover time: a fetcher with a longer backoff than the others would appear to have crashed. */
const maxOriginBackoffMs = 800;

export const createSwarm = (options: SwarmOptions): {state: SwarmState; effects: SwarmEffect[]} => {
	const {
		held, peers, maxFetches = 5, maxFetchesPerPeer = 2, maxOriginFetches = 2, originCopies = 1, originFetchers: fetcherCount = 8,
		takeoverMs = 2000, fetchTimeoutMs = 5000, maxNeighbours = 10, maxBadChunks = 3, importWaitMs = 0, greetingWaitMs = 500,
		refetchMs: refetchDelayMs = Number.POSITIVE_INFINITY, nearOriginFetchers: nearFetchers = null, ...otherOptions
	} = options;
	const {self, manifestId, totalChunks, nowMs} = otherOptions;
	const seen = new Uint8Array(totalChunks);
	const state: SwarmState = {
		options: {
			...otherOptions, maxFetches, maxFetchesPerPeer, maxOriginFetches, originCopies, originFetchers: fetcherCount,
			takeoverMs, fetchTimeoutMs, maxNeighbours, maxBadChunks, importWaitMs, greetingWaitMs, refetchMs: refetchDelayMs, nearOriginFetchers: nearFetchers,
		},
		peers: new Map(),
		neighbours: new Map(),
		held: new Set(held),
		picker: createChunkPicker(totalChunks),
		fetches: new Map(),
		peerFetches: 0,
		originFetches: 0,
		originFailures: 0,
		originBackoffUntilMs: nowMs,
		originAvailableSinceMs: nowMs,
		tickets: createOriginTickets({
			selfId: self.hostId, hostIds: [self.hostId], manifestId, totalChunks, fetcherCount, seen, nowMs, maxProgressGapMs: takeoverMs * progressGapShare,
		}),
		typicalFetchMs: 0,
		progressAtMs: nowMs,
		announceAtMs: null,
		imports: createZoneImports(totalChunks),
		badChunks: new Map(),
		ejected: new Set(),
		excludedUntilMs: new Map(),
		startedAtMs: nowMs,
	};
	for (const chunk of held) {
		setWanted(state.picker, chunk, false);
		recordSeen(state.tickets, chunk, nowMs);
	}

	const effects = changePeers(state, peers, nowMs);
	if (state.held.size === totalChunks) {
		effects.push({type: 'complete'});
	}

	return {state, effects};
};

/**
 * Performs one step of the exchange of one manifest's chunks on one host. Uses a
 * plain exhaustive switch: an agent runs this step for every chunk that a
 * neighbour obtains, and matching with ts-pattern took a quarter of its time.
 */
export const stepSwarm = (state: SwarmState, event: SwarmEvent, nowMs: number): SwarmEffect[] => {
	switch (event.type) {
		case 'peerHas': {
			return schedule(state, recordAnnouncement(state, event, nowMs), nowMs);
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
 * Called for each change of the catalog, even if only some host became ready.
 * Ranking the chunks again for each of them would use all agents' processor time
 * at the same time, while versions switch, and would discard which fetchers are
 * suspected.
 */
const changePeers = (state: SwarmState, peers: readonly SwarmPeer[], nowMs: number): SwarmEffect[] => {
	const {self, manifestId, totalChunks, originFetchers: fetcherCount, takeoverMs} = state.options;
	const next = new Map(peers.filter(peer => peer.hostId !== self.hostId).map(peer => [peer.hostId, peer]));
	if (!isSamePeers(state.peers, next)) {
		state.peers = next;
		state.tickets = createOriginTickets({
			selfId: self.hostId, hostIds: [self.hostId, ...next.keys()], originZoneIds: hostsInOriginZone(state, next), manifestId, totalChunks, fetcherCount,
			seen: state.tickets.seen, ejected: state.ejected, nowMs, maxProgressGapMs: takeoverMs * progressGapShare,
		});
		rankZoneImports(state.imports, {self, manifestId, peers: next.values()});
		return greetNewNeighbours(state, nowMs);
	}

	// A peer whose exclusion has expired may become a neighbour again.
	return state.excludedUntilMs.size === 0 ? [] : greetNewNeighbours(state, nowMs);
};

/** The hosts that should fetch from the origin before the others. */
const hostsInOriginZone = ({options: {self, nearOriginFetchers: nearFetchers}}: SwarmState, peers: ReadonlyMap<string, SwarmPeer>): ReadonlySet<string> => {
	if (nearFetchers === null) {
		return new Set();
	}

	const originZonePeers = [self, ...peers.values()].filter(({zoneId}) => zoneId === nearFetchers.zoneId);
	return new Set(originZonePeers.length < nearFetchers.minHosts ? [] : originZonePeers.map(({hostId}) => hostId));
};

/** Chunks arrive from the origin every few tens of ms; if none appears anywhere for this long, it is lost or partitioned. */
const originSilenceMs = 500;

/**
 * Whether the remaining chunks are available: hosts have announced all of them, or
 * the origin is still sending. Exchanges among hosts continue for seconds after
 * the origin is lost, so they do not indicate when the last chunk arrives.
 */
export const isRemainderAvailable = ({tickets: {seen, progressAtMs}}: SwarmState, nowMs: number): boolean => nowMs - progressAtMs < originSilenceMs || seen.every(shown => shown === 1);

/** Removes a fetch from the state. Returns `null` if it was cancelled before. */
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
			// A neighbour that was dropped and added again starts with no outstanding fetches.
			neighbour.outstanding = Math.max(0, neighbour.outstanding - 1);
		}
	}

	return ended;
};

const onStored = (state: SwarmState, chunk: number, source: ChunkSource, nowMs: number): SwarmEffect[] => {
	const ended = endFetch(state, chunk, source);
	if (source.type === 'origin') {
		if (state.originFailures > 0) {
			state.originAvailableSinceMs = nowMs;
		}

		state.originFailures = 0;
	} else {
		const neighbour = state.neighbours.get(source.hostId);
		if (neighbour !== undefined) {
			neighbour.failures = 0;
		}

		if (ended !== null) {
			const tookMs = nowMs - ended.startedAtMs;
			state.typicalFetchMs = state.typicalFetchMs === 0 ? tookMs : state.typicalFetchMs + (typicalFetchWeight * (tookMs - state.typicalFetchMs));
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
	recordSeen(state.tickets, chunk, nowMs);
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
		const effects = onPeerFailure(state, {
			chunk, hostId: source.hostId, reason, retryAfterMs, nowMs,
		});
		// While the fetch ran, this host may have become the owner of the chunk, or lost its last other holder.
		if (state.picker.wanted[chunk] === 1 && !isAvailable(state, chunk)) {
			requeueOwned(state.tickets, chunk);
		}

		return effects;
	}

	if (state.tickets.ranks[chunk] === 0) {
		state.tickets.ownChunks.push(chunk);
	}

	state.originFailures++;
	state.originBackoffUntilMs = nowMs + (retryAfterMs ?? Math.min(maxOriginBackoffMs, originBackoffMs * (2 ** state.originFailures)));
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

	suspectStalledFetchers(state.tickets, {
		selfId: self.hostId, manifestId, takeoverMs: Math.max(takeoverMs, stallFactor * state.typicalFetchMs), isOriginFailing: state.originFailures > 0, nowMs,
	});
	return schedule(state, effects, nowMs);
};

