import type {Random} from '../utils/random.js';
import type {ChunkPicker} from './chunk-picker.js';
import type {OriginTickets} from './origin-tickets.js';
import type {SwarmPeer} from './swarm-peer.js';
import type {ZoneImports} from './zone-imports.js';

export type {SwarmPeer} from './swarm-peer.js';

export type ChunkSource
	= | {readonly type: 'origin'}
		| {readonly type: 'peer'; readonly hostId: string};

/** `busy`: the source is alive and refuses for now; `missing`: a peer announced what it does not have. */
export type FailureReason = 'corrupt' | 'missing' | 'unreachable' | 'stalled' | 'busy';

/** `least`: hosts whose links together carry what the origin sends. */
export type NearDrawers = {readonly zoneId: string; readonly least: number};

export type SwarmOptions = {
	readonly self: SwarmPeer;
	readonly manifestId: string;
	readonly totalChunks: number;
	readonly held: readonly number[];
	readonly peers: readonly SwarmPeer[];
	readonly random: Random;
	readonly nowMs: number;
	/** Fetches from peers side by side. @default 5 */
	readonly maxFetches?: number;
	/** Fetches side by side from one peer. @default 2 */
	readonly maxFetchesPerPeer?: number;
	/** Fetches from the origin side by side. @default 2 */
	readonly maxOriginFetches?: number;
	/** Copies that may leave the origin while no host fails, 1 to 4. @default 1 */
	readonly originCopies?: number;
	/** Hosts that draw from the origin, for each copy. @default 8 */
	readonly drawers?: number;
	/**
	 * Hosts of the origin's zone draw its chunks, where there are enough of them for
	 * its link; the others do if these fail. A chunk that is drawn from another zone
	 * crosses once more on its way back. @default null, any host draws
	 */
	readonly nearDrawers?: NearDrawers | null;
	/** Without a new chunk from a drawer for this long the others take its chunks over. @default 2000 */
	readonly takeoverMs?: number;
	/** A fetch without an end for this long is given up, whatever fetches took so far. @default 5000 */
	readonly fetchTimeoutMs?: number;
	/** Neighbours that this host exchanges chunks with; as many again may join them while hosts disagree about who lives. @default 10 */
	readonly maxNeighbours?: number;
	/** Bad chunks after which a peer is put aside. @default 3 */
	readonly maxBadChunks?: number;
	/**
	 * Each chunk is brought into a zone by one host of it; the next in turn does
	 * so after this, and so on. 0: whoever wants a chunk fetches it from anywhere. @default 0
	 */
	readonly importWaitMs?: number;
	/** Neighbours that did not answer a greeting are not waited for longer than this. @default 500 */
	readonly greetingWaitMs?: number;
	/**
	 * A chunk that nobody has shown by this time after the start is drawn by the
	 * next drawer too, and so on in steps of a fifth. The origin may be lost at any
	 * moment, so a copy is made of it before each silent drawer is proved dead.
	 * @default never
	 */
	readonly redrawMs?: number;
};

/** What this host knows of a neighbour. */
export type Neighbour = {
	readonly hostId: string;
	/** 1 for each chunk that it announced. */
	readonly have: Uint8Array;
	/** Chunks stored here that it has not been told of yet. */
	unannounced: number[];
	/** Whether this host chose it; otherwise it chose this host. */
	isChosen: boolean;
	/** Whether it has announced anything, and so runs the exchange. */
	isHeard: boolean;
	outstanding: number;
	/** Not asked before this time. */
	restUntilMs: number;
	/** Failures in a row, other than `busy`. */
	failures: number;
};

export type SwarmFetch = {readonly source: ChunkSource; readonly startedAtMs: number};

export type SwarmState = {
	readonly options: Required<Omit<SwarmOptions, 'held' | 'peers'>>;
	peers: Map<string, SwarmPeer>;
	readonly neighbours: Map<string, Neighbour>;
	readonly held: Set<number>;
	readonly picker: ChunkPicker;
	/** Running fetches by chunk; two for one chunk only near the end. */
	readonly fetches: Map<number, SwarmFetch[]>;
	peerFetches: number;
	originFetches: number;
	/** Failures of the origin in a row. */
	originFailures: number;
	originRestUntilMs: number;
	/** Since when the origin has been there to draw from, as far as this host can tell. */
	drawingSinceMs: number;
	tickets: OriginTickets;
	/** Moving mean of how long a fetch from a peer takes. */
	typicalFetchMs: number;
	/** When a chunk last arrived or was first seen. */
	progressAtMs: number;
	/** When gathered announcements go out; `null` while there are none. */
	announceAtMs: number | null;
	readonly imports: ZoneImports;
	readonly badChunks: Map<string, number>;
	readonly setAside: Set<string>;
	/** Peers that did not answer, and until when they are left out. */
	readonly avoidedUntilMs: Map<string, number>;
	readonly startedAtMs: number;
};

export type SwarmEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'peersChanged'; readonly peers: readonly SwarmPeer[]}
		| {
			readonly type: 'peerHas'; readonly hostId: string; readonly chunks: readonly number[];
			/** The peer has just begun: `chunks` is all that it has, and it wants to know what this host has. */
			readonly isGreeting: boolean;
		}
		| {readonly type: 'stored'; readonly chunk: number; readonly source: ChunkSource}
		| {
			readonly type: 'failed'; readonly chunk: number; readonly source: ChunkSource; readonly reason: FailureReason;
			/** When to ask a busy source again. */
			readonly retryAfterMs?: number;
		};

export type SwarmEffect
	= | {readonly type: 'fetch'; readonly chunk: number; readonly source: ChunkSource}
		| {readonly type: 'cancel'; readonly chunk: number; readonly source: ChunkSource}
		| {readonly type: 'announce'; readonly to: readonly string[]; readonly chunks: readonly number[]; readonly isGreeting: boolean}
		| {readonly type: 'setAside'; readonly hostId: string}
		| {readonly type: 'complete'};
