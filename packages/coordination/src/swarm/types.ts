import type {Random} from '../utils/random.js';

export type SwarmPeer = {readonly hostId: string; readonly zoneId: string; readonly regionId: string};

export type ChunkSource
	= | {readonly type: 'origin'}
		| {readonly type: 'peer'; readonly hostId: string};

export type FailureReason = 'corrupt' | 'missing' | 'unreachable' | 'stalled';

export type SwarmOptions = {
	readonly self: SwarmPeer;
	readonly manifestId: string;
	readonly totalChunks: number;
	readonly held: readonly number[];
	readonly peers: readonly SwarmPeer[];
	readonly random: Random;
	readonly nowMs: number;
	/** Fetches from peers side by side. @default 4 */
	readonly maxFetches?: number;
	/** Wait before the next host in rank takes over a chunk from the origin. @default 2000 */
	readonly takeoverMs?: number;
	/** A fetch without an end for this long is given up. @default 5000 */
	readonly fetchTimeoutMs?: number;
	/** Neighbours that this host asks and tells. @default 8 */
	readonly maxNeighbours?: number;
	/** Bad chunks after which a peer is put aside. @default 3 */
	readonly maxBadChunks?: number;
};

export type SwarmFetch = {readonly source: ChunkSource; readonly startedAtMs: number};

export type SwarmState = {
	readonly options: Required<Omit<SwarmOptions, 'held' | 'peers'>>;
	peers: Map<string, SwarmPeer>;
	/** Hosts that this one exchanges chunks with. */
	neighbours: string[];
	readonly held: Set<number>;
	/** Chunks that each neighbour announced. */
	readonly have: Map<string, Set<number>>;
	readonly fetches: Map<number, SwarmFetch>;
	readonly badChunks: Map<string, number>;
	readonly setAside: Set<string>;
	/** Own rank among the living for the origin's copy of a chunk, once asked for. */
	readonly ranks: Map<number, number>;
	readonly startedAtMs: number;
};

export type SwarmEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'peersChanged'; readonly peers: readonly SwarmPeer[]}
		| {readonly type: 'peerHas'; readonly hostId: string; readonly chunks: readonly number[]}
		| {readonly type: 'stored'; readonly chunk: number}
		| {readonly type: 'failed'; readonly chunk: number; readonly source: ChunkSource; readonly reason: FailureReason};

export type SwarmEffect
	= | {readonly type: 'fetch'; readonly chunk: number; readonly source: ChunkSource}
		| {readonly type: 'cancel'; readonly chunk: number; readonly source: ChunkSource}
		| {readonly type: 'announce'; readonly to: string; readonly chunks: readonly number[]; readonly isGreeting: boolean}
		| {readonly type: 'setAside'; readonly hostId: string}
		| {readonly type: 'complete'};
