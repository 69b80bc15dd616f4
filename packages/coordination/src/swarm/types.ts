import type {Random} from '../utils/random.js';
import type {ChunkPicker} from './chunk-picker.js';
import type {OriginTickets} from './origin-tickets.js';
import type {SwarmPeer} from './swarm-peer.js';
import type {ZoneImports} from './zone-imports.js';

export type {SwarmPeer} from './swarm-peer.js';

export type ChunkSource
	= | {readonly type: 'origin'}
		| {readonly type: 'peer'; readonly hostId: string};

/** `busy`: the source is live but currently refuses; `missing`: a peer announced a chunk that it does not have. */
export type FailureReason = 'corrupt' | 'missing' | 'unreachable' | 'stalled' | 'busy';

/** Zone of the origin. `minHosts`: minimum number of hosts whose links together can carry what the origin sends. */
export type NearOriginFetchers = {readonly zoneId: string; readonly minHosts: number};

export type SwarmOptions = {
	readonly self: SwarmPeer;
	readonly manifestId: string;
	readonly totalChunks: number;
	readonly held: readonly number[];
	readonly peers: readonly SwarmPeer[];
	readonly random: Random;
	readonly nowMs: number;
	/** Maximum number of concurrent fetches from peers. @default 5 */
	readonly maxFetches?: number;
	/** Maximum number of concurrent fetches from one peer. @default 2 */
	readonly maxFetchesPerPeer?: number;
	/** Maximum number of concurrent fetches from the origin. @default 2 */
	readonly maxOriginFetches?: number;
	/** Number of copies that may leave the origin while no host fails, 1 to 4. @default 1 */
	readonly originCopies?: number;
	/** Number of hosts that fetch from the origin, for each copy. @default 8 */
	readonly originFetchers?: number;
	/**
	 * Hosts of the origin's zone fetch its chunks, if there are enough of them for its
	 * link; the others do if these fail. A chunk fetched from another zone crosses the
	 * zone boundary once more on its return. @default null, any host fetches
	 */
	readonly nearOriginFetchers?: NearOriginFetchers | null;
	/** If an origin fetcher yields no new chunk for this long, the others take over its chunks. @default 2000 */
	readonly takeoverMs?: number;
	/** Timeout of a fetch while the typical fetch time is unknown, and minimum timeout of a fetch from the origin. @default 5000 */
	readonly fetchTimeoutMs?: number;
	/** Maximum number of neighbours that this host chooses for the exchange; as many again may be added while hosts disagree about which peers are live. @default 10 */
	readonly maxNeighbours?: number;
	/** Number of corrupt or missing chunks after which a peer is ejected. @default 3 */
	readonly maxBadChunks?: number;
	/**
	 * Each chunk is imported into a zone by one of its hosts; the next in turn does
	 * so after this time, and so on. 0: any host fetches a chunk from anywhere. @default 0
	 */
	readonly importWaitMs?: number;
	/** Maximum time to wait for neighbours to answer the greeting. @default 500 */
	readonly greetingWaitMs?: number;
	/**
	 * A chunk that no host has announced by this time after the start is also fetched
	 * by the next origin fetcher, and so on in steps of a fifth of this time. The
	 * origin may be lost at any time, so the chunk is copied before it is certain
	 * that each silent fetcher has crashed.
	 * @default never
	 */
	readonly refetchMs?: number;
};

/** This host's view of a neighbour. */
export type Neighbour = {
	readonly hostId: string;
	/** 1 for each chunk that the neighbour announced. */
	readonly have: Uint8Array;
	/** Chunks stored here that have not been announced to the neighbour yet. */
	unannounced: number[];
	/** Whether this host chose the neighbour; otherwise the neighbour chose this host. */
	isChosen: boolean;
	/** Whether the neighbour has announced anything, and so takes part in the exchange. */
	hasAnnounced: boolean;
	outstanding: number;
	/** No chunk is requested from the neighbour before this time. */
	backoffUntilMs: number;
	/** Consecutive failures, other than `busy`. */
	failures: number;
};

export type SwarmFetch = {readonly source: ChunkSource; readonly startedAtMs: number};

export type SwarmState = {
	readonly options: Required<Omit<SwarmOptions, 'held' | 'peers'>>;
	peers: Map<string, SwarmPeer>;
	readonly neighbours: Map<string, Neighbour>;
	readonly held: Set<number>;
	readonly picker: ChunkPicker;
	/** Running fetches by chunk; more than one for a chunk only near the end. */
	readonly fetches: Map<number, SwarmFetch[]>;
	peerFetches: number;
	originFetches: number;
	/** Consecutive failures of the origin. */
	originFailures: number;
	originBackoffUntilMs: number;
	/** Since when the origin has been reachable, as far as this host can tell. */
	originAvailableSinceMs: number;
	tickets: OriginTickets;
	/** Moving average of the duration of fetches from peers. */
	typicalFetchMs: number;
	/** When a chunk last arrived or was first seen. */
	progressAtMs: number;
	/** When the batched announcements are sent; `null` if there are none. */
	announceAtMs: number | null;
	readonly imports: ZoneImports;
	readonly badChunks: Map<string, number>;
	readonly ejected: Set<string>;
	/** Peers that did not respond, and until when they are excluded. */
	readonly excludedUntilMs: Map<string, number>;
	readonly startedAtMs: number;
};

export type SwarmEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'peersChanged'; readonly peers: readonly SwarmPeer[]}
		| {
			readonly type: 'peerHas'; readonly hostId: string; readonly chunks: readonly number[];
			/** The peer has just started: `chunks` lists all chunks that it has, and it requests those of this host. */
			readonly isGreeting: boolean;
		}
		| {readonly type: 'stored'; readonly chunk: number; readonly source: ChunkSource}
		| {
			readonly type: 'failed'; readonly chunk: number; readonly source: ChunkSource; readonly reason: FailureReason;
			/** Delay before a busy source may be requested again. */
			readonly retryAfterMs?: number;
		};

export type SwarmEffect
	= | {readonly type: 'fetch'; readonly chunk: number; readonly source: ChunkSource}
		| {readonly type: 'cancel'; readonly chunk: number; readonly source: ChunkSource}
		| {readonly type: 'announce'; readonly to: readonly string[]; readonly chunks: readonly number[]; readonly isGreeting: boolean}
		| {readonly type: 'setAside'; readonly hostId: string}
		| {readonly type: 'complete'};
