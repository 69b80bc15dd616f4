import {setTimeout as delay} from 'node:timers/promises';
import {
	createRandom, createSwarm, isRemainderAvailable, stepSwarm, type ChunkSource, type SwarmEffect, type SwarmEvent, type SwarmOptions, type SwarmPeer, type SwarmState,
} from '@bitternpaddle/coordination';
import type {ChunkAnnouncement} from '@bitternpaddle/protocol';
import type {ChunkStore} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';
import {createAnnouncer, recordAnnouncedLimits} from './announcer.js';
import {fetchChunk, type FetchOutcome, type WeightSources} from './fetch-chunk.js';
import type {TransferLinks} from './transfer-links.js';

export type TransferPeer = SwarmPeer & {readonly address: string};

export type TransferCounters = {originBytes: number; peerBytes: number; lastFailure: string};

export type TransferOptions = {
	readonly store: Pick<ChunkStore, 'manifestId' | 'manifest' | 'heldChunks' | 'put'>;
	readonly self: SwarmPeer;
	readonly selfAddress: () => string;
	readonly sources: WeightSources;
	readonly originCopies: number;
	readonly peers: readonly TransferPeer[];
	readonly links: TransferLinks;
	readonly counters: TransferCounters;
	readonly logger: Logger;
	/** Fetches from an origin with a protocol other than HTTP range requests. @default range requests to `sources` */
	fetchFromOrigin?(chunk: number, signal: AbortSignal): Promise<FetchOutcome>;
	/** Called after each successful fetch. */
	onFetched?(source: ChunkSource, tookMs: number): void;
	/** How long this host should pause fetching; 0 if it may fetch. @default 0 */
	fetchPauseMs?(): number;
	/** Limits of the exchange. @default the defaults of the swarm */
	readonly swarm?: Pick<SwarmOptions, 'takeoverMs' | 'maxFetches' | 'maxFetchesPerPeer' | 'maxOriginFetches' | 'importWaitMs' | 'greetingWaitMs' | 'refetchMs' | 'nearOriginFetchers'>;
	/** How often the exchange gets a clock tick. @default 100 */
	readonly tickMs?: number;
	onComplete(): void;
};

/** The exchange of one manifest's chunks on this host. It continues to announce its chunks after it is complete. */
export type Transfer = {
	receiveAnnouncement(parameters: ChunkAnnouncement): void;
	changePeers(peers: readonly TransferPeer[]): void;
	/** Whether all chunks have been announced by hosts, or the origin still makes progress. */
	canComplete(): boolean;
	/** Stops fetching; the store stays open. */
	close(): void;
};

const defaultTickMs = 100;
const chunkIdleTimeoutMs = 5000;
/** Maximum delay before a paused host fails a fetch, so that the swarm does not retry in a tight loop. */
const maxPauseMs = 100;
/** Delay before the next fetch from a source after this host failed to store a chunk on disk. */
const storeRetryMs = 1000;
const seedCount = 2_147_483_647;

export const createTransfer = (options: TransferOptions): Transfer => {
	const {store, self, selfAddress, sources, originCopies, links, counters, logger, fetchFromOrigin, swarm = {}, tickMs = defaultTickMs, onComplete} = options;
	const {manifestId, manifest} = store;
	const addresses = new Map<string, string>(options.peers.map(peer => [peer.hostId, peer.address]));
	const aborts = new Map<string, AbortController>();
	const announcer = createAnnouncer({
		selfId: self.hostId, selfAddress, manifestId, links, addressOf: hostId => addresses.get(hostId),
	});
	let isClosed = false;

	const dispatch = (event: SwarmEvent): void => {
		if (!isClosed) {
			applyEffects(stepSwarm(state, event, performance.now()));
		}
	};

	const applyEffects = (effects: readonly SwarmEffect[]): void => {
		for (const effect of effects) {
			match(effect)
				.with({type: 'fetch'}, ({chunk, source}) => {
					void fetchAndStore(chunk, source);
				})
				.with({type: 'cancel'}, ({chunk, source}) => {
					aborts.get(fetchKey(chunk, source))?.abort();
				})
				.with({type: 'announce'}, ({to, chunks, isGreeting}) => {
					announcer.announce(to, chunks, isGreeting);
				})
				.with({type: 'setAside'}, ({hostId}) => {
					logger.event('BP3004', {peer: hostId, manifestId});
				})
				.with({type: 'complete'}, () => {
					// A complete set reacts to events only: it is announced immediately and needs no clock ticks.
					clearInterval(timer);
					onComplete();
				})
				.exhaustive();
		}
	};

	const fetchAndStore = async (chunk: number, source: ChunkSource): Promise<void> => {
		const pauseMs = options.fetchPauseMs?.() ?? 0;
		if (pauseMs > 0) {
			await delay(Math.min(pauseMs, maxPauseMs));
			dispatch({
				type: 'failed', chunk, source, reason: 'busy', retryAfterMs: pauseMs,
			});
			return;
		}

		const startedAtMs = performance.now();
		const abort = new AbortController();
		const key = fetchKey(chunk, source);
		aborts.set(key, abort);
		const outcome = source.type === 'origin' && fetchFromOrigin !== undefined
			? await fetchFromOrigin(chunk, abort.signal)
			: await fetchChunk({
				selfId: self.hostId, manifestId, manifest, chunk, source, sources, links, idleTimeoutMs: chunkIdleTimeoutMs, signal: abort.signal,
				peerAddress: source.type === 'peer' ? addresses.get(source.hostId) : undefined,
			});
		if (aborts.get(key) === abort) {
			aborts.delete(key);
		}

		if (abort.signal.aborted || isClosed) {
			return;
		}

		if (outcome.type === 'failed') {
			if (outcome.reason !== 'busy') {
				counters.lastFailure = `chunk ${chunk}: ${outcome.detail}`;
			}

			dispatch({
				type: 'failed', chunk, source, reason: outcome.reason, retryAfterMs: outcome.retryAfterMs,
			});
			return;
		}

		options.onFetched?.(source, performance.now() - startedAtMs);
		counters[source.type === 'origin' ? 'originBytes' : 'peerBytes'] += outcome.data.length;
		const isStored = await store.put(chunk, outcome.data).catch((error: unknown) => error as Error);
		if (isStored instanceof Error) {
			// A full or failing disk is not the fault of the source. If thrown, the error would end the process and all requests that run here.
			counters.lastFailure = `chunk ${chunk} cannot be stored: ${isStored.message}`;
			logger.event('BP3003', {manifestId, detail: counters.lastFailure});
			dispatch({
				type: 'failed', chunk, source, reason: 'busy', retryAfterMs: storeRetryMs,
			});
			return;
		}

		if (!isStored) {
			counters.lastFailure = `chunk ${chunk}: wrong digest from ${source.type === 'peer' ? source.hostId : 'origin'}`;
		}

		dispatch(isStored
			? {type: 'stored', chunk, source}
			: {
				type: 'failed', chunk, source, reason: 'corrupt',
			});
	};

	const {state, effects}: {state: SwarmState; effects: SwarmEffect[]} = createSwarm({
		self, manifestId, originCopies, totalChunks: manifest.chunkDigests.length, held: store.heldChunks(), peers: options.peers, ...swarm,
		random: createRandom(Math.floor(Math.random() * seedCount)), nowMs: performance.now(),
	});
	// Deferred so that the caller receives the transfer before the first effects run.
	setImmediate(() => {
		if (!isClosed) {
			applyEffects(effects);
			dispatch({type: 'tick'});
		}
	});
	const timer = setInterval(() => {
		dispatch({type: 'tick'});
	}, tickMs);
	return {
		receiveAnnouncement(parameters) {
			addresses.set(parameters.from, parameters.address);
			recordAnnouncedLimits(links, parameters);
			dispatch({
				type: 'peerHas', hostId: parameters.from, chunks: parameters.chunks, isGreeting: parameters.isGreeting,
			});
		},
		changePeers(peers) {
			for (const peer of peers) {
				addresses.set(peer.hostId, peer.address);
			}

			dispatch({type: 'peersChanged', peers});
		},
		canComplete: () => isRemainderAvailable(state, performance.now()),
		close() {
			isClosed = true;
			clearInterval(timer);
			announcer.close();
			for (const abort of aborts.values()) {
				abort.abort();
			}
		},
	};
};

const fetchKey = (chunk: number, source: ChunkSource): string => `${chunk}/${source.type === 'peer' ? source.hostId : ''}`;
