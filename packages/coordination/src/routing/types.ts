import type {Random} from '../utils/random.js';
import type {HashRing} from './hash-ring.js';
import type {HostNumbers, HostState} from './host-state.js';
import type {StartTimes} from './start-times.js';

/** The model, adapter or service that a request is for. */
export type RouteTarget
	= | {readonly type: 'model'; readonly modelId: string; readonly adapterId?: string}
		| {readonly type: 'service'; readonly serviceId: string};

export type Endpoint = {
	readonly hostId: string;
	readonly address: string;
	/** Incarnation of the agent; a restarted agent has lost its records of admitted requests. */
	readonly incarnation: number;
	readonly zoneId: string;
	readonly regionId: string;
	readonly capacity: number;
	/** Version that an answer must state; `null` for a plain service. */
	readonly versionId: string | null;
	readonly fleetId: string | null;
};

/** The hosts of a group that are at the same distance from this entry. */
export type Tier = {
	readonly group: Group;
	readonly members: Set<HostState>;
	/** The members with the greatest weight for this entry, in descending order. */
	readonly minimum: HostState[];
	/** Active hosts with spare slots, in any order. */
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
	/** No host is ejected before this time. */
	panicUntilMs: number;
	/** Hosts with requests that await a first byte, and since when none has arrived; the oldest comes first. */
	readonly awaiting: Map<HostState, number>;
	failureShare: number;
	latencyMs: number;
	outcomes: number;
};

export type TrafficGroup = {
	readonly percent: number;
	readonly group: Group;
	/** Adapters of the group's version that are assigned to its hosts; a host may not have loaded them yet. */
	readonly adapterIds?: readonly string[];
};

export type RouterOptions = {
	readonly entryId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly random: Random;
	/** Minimum number of entries that use each endpoint. @default 4 */
	readonly entriesPerEndpoint?: number;
	/** Minimum number of hosts per tier of each group that an entry uses. @default 12 */
	readonly minimumPerTier?: number;
	/** Utilisation of a tier from which requests spill to the next farther tier. @default 0.8 */
	readonly spillShare?: number;
	/** Multiple of its tier's mean load up to which a host is chosen for its cached prefix. @default 1.25 */
	readonly affinityFactor?: number;
	/** Fraction of its capacity up to which a host may always be chosen for its cached prefix. @default 0.5 */
	readonly affinityFloor?: number;
	/** Age of a load report from which the host is probed. @default 1000 */
	readonly staleMs?: number;
	/** Time after which a load report counts half. @default 2000 */
	readonly reportHalfLifeMs?: number;
	/** Time over which a new or readmitted host ramps up to its full capacity. @default 30000 */
	readonly slowStartMs?: number;
	/** Maximum fraction of a group that may be ejected at the same time. @default 0.5 */
	readonly maxEjectedShare?: number;
	/** How long no host is ejected after the limit was exceeded; 0 disables this and only applies the limit. @default 10000 */
	readonly panicMs?: number;
	/** Consecutive failures that eject a host. @default 3 */
	readonly failuresToEject?: number;
	/** Duration of the first ejection; doubles with each further one. @default 5000 */
	readonly ejectionMs?: number;
	/** Minimum time without a first byte before a host is ejected. @default 2000 */
	readonly silentMs?: number;
};

export type ResolvedRouterOptions = Required<RouterOptions>;

/** An entry's view of its endpoints. */
export type RouterState = {
	readonly options: ResolvedRouterOptions;
	revision: number;
	readonly hosts: Map<string, HostState>;
	readonly numbers: HostNumbers;
	readonly starts: StartTimes;
	readonly groups: Map<string, Group>;
	readonly models: Map<string, TrafficGroup[]>;
	readonly services: Map<string, Group | null>;
	/** Adapters of all versions, by the name that callers use (see `adapterNameOf`). */
	readonly adapters: Set<string>;
	/** The other entries whose changes `setEntries` has applied. */
	readonly otherEntries: Set<string>;
	/** Active hosts without spare slots, re-evaluated at each tick because reported loads decay. */
	readonly full: Set<HostState>;
	/** Moving average of failures over outcomes, by zone. */
	readonly zoneFailureShares: Map<string, number>;
	/** Ejections, readmissions and panics since the last call of `tickRouter`. */
	notices: RouterNotice[];
};

export type EjectionReason = 'failures' | 'failureShare' | 'latency' | 'silent';

/** Router event that is reported to operators. */
export type RouterNotice
	= | {readonly type: 'ejected'; readonly hostId: string; readonly reason: EjectionReason; readonly untilMs: number}
		| {readonly type: 'returned'; readonly hostId: string}
		| {readonly type: 'panicked'; readonly group: string};
