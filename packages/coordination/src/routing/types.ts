import type {Random} from '../utils/random.js';
import type {HashRing} from './hash-ring.js';
import type {HostNumbers, HostState} from './host-state.js';
import type {StartTimes} from './start-times.js';

/** What a request asks for. */
export type RouteTarget
	= | {readonly type: 'model'; readonly modelId: string; readonly adapterId?: string}
		| {readonly type: 'service'; readonly serviceId: string};

export type Endpoint = {
	readonly hostId: string;
	readonly address: string;
	/** Of the agent; a restarted agent has forgotten what it let through. */
	readonly incarnation: number;
	readonly zoneId: string;
	readonly regionId: string;
	readonly capacity: number;
	/** The version that an answer must carry; `null` for a plain service. */
	readonly versionId: string | null;
	readonly fleetId: string | null;
};

/** The hosts of a group at one distance from this entry. */
export type Tier = {
	readonly group: Group;
	readonly members: Set<HostState>;
	/** The members of greatest weight for this entry, best first. */
	readonly minimum: HostState[];
	/** Active hosts that have room, in any order. */
	readonly available: HostState[];
	readonly ring: HashRing<HostState>;
	load: number;
	capacity: number;
};

/** All hosts that can answer the same request. */
export type Group = {
	readonly key: string;
	/** Own zone, own region, elsewhere. */
	readonly tiers: readonly [Tier, Tier, Tier];
	size: number;
	activeSize: number;
	readonly ejected: Set<HostState>;
	/** Ejections are lifted until then. */
	panicUntilMs: number;
	/** Hosts with requests without a first byte, by when one last answered; the oldest comes first. */
	readonly awaiting: Map<HostState, number>;
	failureShare: number;
	latencyMs: number;
	outcomes: number;
};

export type TrafficGroup = {
	readonly percent: number;
	readonly group: Group;
	/** Adapters of the group's version that its hosts are to hold; a host may not yet. */
	readonly adapterIds?: readonly string[];
};

export type RouterOptions = {
	readonly entryId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly random: Random;
	/** Entries that each endpoint is known to at least. @default 4 */
	readonly entriesPerEndpoint?: number;
	/** Hosts of each distance that an entry keeps at least, for each group. @default 12 */
	readonly minimumPerTier?: number;
	/** Share of a nearer tier's capacity from which requests go further away. @default 0.8 */
	readonly spillShare?: number;
	/** How far above its tier's mean load a host may be for the sake of its cache. @default 1.25 */
	readonly affinityFactor?: number;
	/** Share of its capacity up to which a host may always be chosen for its cache. @default 0.5 */
	readonly affinityFloor?: number;
	/** Reports older than this are probed. @default 1000 */
	readonly staleMs?: number;
	/** Time in which half of what a report said counts no more. @default 2000 */
	readonly reportHalfLifeMs?: number;
	/** @default 30000 */
	readonly slowStartMs?: number;
	/** Largest share of a group that is ejected at once. @default 0.5 */
	readonly maxEjectedShare?: number;
	/** How long nothing is ejected after more looked bad than may be ejected; 0 only keeps to the share. @default 10000 */
	readonly panicMs?: number;
	/** Failures in a row that eject a host. @default 3 */
	readonly failuresToEject?: number;
	/** First time of ejection; doubles each time. @default 5000 */
	readonly ejectionMs?: number;
	/** No first byte for this long ejects, at least. @default 2000 */
	readonly silentMs?: number;
};

export type ResolvedRouterOptions = Required<RouterOptions>;

/** An entry's own view of its endpoints. */
export type RouterState = {
	readonly options: ResolvedRouterOptions;
	revision: number;
	readonly hosts: Map<string, HostState>;
	readonly numbers: HostNumbers;
	readonly starts: StartTimes;
	readonly groups: Map<string, Group>;
	readonly models: Map<string, TrafficGroup[]>;
	readonly services: Map<string, Group | null>;
	/** Adapters of any version, as callers name them: `adapterNameOf`. */
	readonly adapters: Set<string>;
	/** All other entries, as far as they are taken in. */
	readonly otherEntries: Set<string>;
	/** Hosts that are full by what others were reported to run. */
	readonly full: Set<HostState>;
	/** Moving average over outcomes, by zone. */
	readonly zoneFailureShares: Map<string, number>;
	/** Ejections and returns since `tickRouter` was last called. */
	notices: RouterNotice[];
};

export type EjectionReason = 'failures' | 'failureShare' | 'latency' | 'silent';

/** What an operator may want to know. */
export type RouterNotice
	= | {readonly type: 'ejected'; readonly hostId: string; readonly reason: EjectionReason; readonly untilMs: number}
		| {readonly type: 'returned'; readonly hostId: string}
		| {readonly type: 'panicked'; readonly group: string};
