import * as z from 'zod';
import {
	adapterIdSchema, commandIdSchema, fleetIdSchema, hostIdSchema, idempotencyKeySchema, manifestIdSchema, modelIdSchema,
	regionIdSchema, requestIdSchema, serviceIdSchema, systemIdSchema, teamIdSchema, versionIdSchema, zoneIdSchema, type ManifestId,
} from '../types/ids.js';

/** How an endpoint announces itself. `incarnation` grows with every start of its agent. */
export const announcementSchema = z.object({
	hostId: hostIdSchema,
	zoneId: zoneIdSchema,
	regionId: regionIdSchema,
	serviceId: serviceIdSchema,
	provider: z.string().max(64),
	/** Where the agent listens, `ip:port`. */
	address: z.string(),
	/** Requests that the endpoint runs side by side. */
	capacity: z.number().int().positive(),
	incarnation: z.number().int().nonnegative(),
	kind: z.enum(['engine', 'plain']),
});
export type Announcement = z.infer<typeof announcementSchema>;

/** One endpoint's ready version, as confirmed by its agent after it asked the engine. */
export const readinessSchema = z.object({
	hostId: hostIdSchema,
	incarnation: z.number().int().nonnegative(),
	versionId: versionIdSchema.nullable(),
	/** Adapters of that version that the engine holds too, in order of their names; missing if it holds none. */
	adapterIds: z.array(adapterIdSchema).optional(),
});
export type Readiness = z.infer<typeof readinessSchema>;

/** What a service promises its callers; both shares are in percent of requests over three days. */
export const objectiveSchema = z.object({
	/** Requests answered whole. */
	answeredWholePercent: z.number().min(1).max(99.999),
	/** Answers whose first token comes within the bound. */
	firstTokenPercent: z.number().min(1).max(99.999),
	firstTokenMs: z.number().int().positive().max(600_000),
});
export type Objective = z.infer<typeof objectiveSchema>;

/** For services whose operators have set none. */
export const defaultObjective: Objective = {answeredWholePercent: 99.9, firstTokenPercent: 95, firstTokenMs: 1000};

/** Where a claimed call is dispatched, with all that its door must be told to settle it. */
export const claimPlaceSchema = z.object({
	hostId: hostIdSchema,
	address: z.string(),
	incarnation: z.number().int().nonnegative(),
	attemptId: z.string(),
	issue: z.object({sender: z.string(), sequence: z.number().int().nonnegative()}),
});
export type ClaimPlace = z.infer<typeof claimPlaceSchema>;

export const claimOutcomeSchema = z.discriminatedUnion('type', [
	/** `body` in base64; `null` if it was too large to keep. */
	z.object({
		type: z.literal('ran'), status: z.number().int(), contentType: z.string(), body: z.string().nullable(),
	}),
	z.object({type: z.literal('mayHaveRun')}),
]);
export type ClaimOutcome = z.infer<typeof claimOutcomeSchema>;

const claimNameShape = {
	teamId: teamIdSchema, serviceId: serviceIdSchema, key: idempotencyKeySchema, requestId: requestIdSchema,
};

const adapterNameShape = {adapterId: adapterIdSchema, versionId: versionIdSchema};

/**
 * The changes that the log carries. Those about claims concern the control
 * hosts alone; all others are configuration and reach every host.
 */
export const changeSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('noop')}),
	z.object({type: z.literal('nameSystem'), systemId: systemIdSchema}),
	z.object({type: z.literal('createModel'), modelId: modelIdSchema}),
	z.object({
		type: z.literal('createVersion'), versionId: versionIdSchema, manifestId: manifestIdSchema,
	}),
	z.object({type: z.literal('createAdapter'), ...adapterNameShape, manifestId: manifestIdSchema}),
	z.object({
		type: z.literal('createFleet'), fleetId: fleetIdSchema, provider: z.string().max(64), versionId: versionIdSchema,
		replicas: z.number().int().nonnegative(), zoneIds: z.array(zoneIdSchema),
		/** No more hosts than this in one zone. */
		maxPerZone: z.number().int().positive().optional(),
		/** Only hosts that run at least this many requests side by side. */
		minCapacity: z.number().int().positive().optional(),
	}),
	z.object({type: z.literal('createService'), serviceId: serviceIdSchema, repeatable: z.boolean()}),
	z.object({type: z.literal('setObjective'), serviceId: serviceIdSchema, objective: objectiveSchema}),
	z.object({
		type: z.literal('createTeam'), teamId: teamIdSchema, keyDigest: z.string(), share: z.number().positive(),
	}),
	z.object({type: z.literal('load'), versionId: versionIdSchema, fleetId: fleetIdSchema}),
	z.object({type: z.literal('loadAdapter'), ...adapterNameShape, fleetId: fleetIdSchema}),
	z.object({type: z.literal('unloadAdapter'), ...adapterNameShape, fleetId: fleetIdSchema}),
	z.object({type: z.literal('withdrawAdapter'), ...adapterNameShape}),
	z.object({type: z.literal('retireAdapter'), ...adapterNameShape}),
	z.object({type: z.literal('setReplicas'), fleetId: fleetIdSchema, replicas: z.number().int().nonnegative()}),
	z.object({type: z.literal('withdrawVersion'), versionId: versionIdSchema}),
	z.object({type: z.literal('retireFleet'), fleetId: fleetIdSchema}),
	z.object({type: z.literal('retireVersion'), versionId: versionIdSchema}),
	z.object({
		type: z.literal('moveTraffic'), modelId: modelIdSchema, percent: z.number().min(0).max(100),
		fromFleetId: fleetIdSchema, toFleetId: fleetIdSchema,
	}),
	z.object({
		type: z.literal('startRollout'), modelId: modelIdSchema, fromFleetId: fleetIdSchema, toFleetId: fleetIdSchema,
		percent: z.number().positive().max(100), stepPercent: z.number().positive().max(100),
		holdMs: z.number().int().positive(), maxErrorPercent: z.number().min(0).max(100),
	}),
	z.object({type: z.literal('advanceRollout'), modelId: modelIdSchema, step: z.number().int().nonnegative()}),
	z.object({
		type: z.literal('haltRollout'), modelId: modelIdSchema, step: z.number().int().nonnegative(), detail: z.string().max(256),
	}),
	z.object({type: z.literal('stopRollout'), modelId: modelIdSchema}),
	z.object({type: z.literal('resumeRollout'), modelId: modelIdSchema}),
	z.object({type: z.literal('rollBack'), modelId: modelIdSchema}),
	z.object({type: z.literal('drainHost'), hostId: hostIdSchema}),
	z.object({type: z.literal('undrainHost'), hostId: hostIdSchema}),
	z.object({type: z.literal('stopHost'), hostId: hostIdSchema}),
	z.object({type: z.literal('hostJoined'), announcement: announcementSchema}),
	z.object({type: z.literal('hostLeft'), hostId: hostIdSchema, incarnation: z.number().int()}),
	z.object({type: z.literal('replicasChanged'), readiness: z.array(readinessSchema)}),
	z.object({
		type: z.literal('claim'), ...claimNameShape, bodyDigest: z.string(), atMs: z.number(), place: claimPlaceSchema.nullable(),
	}),
	z.object({type: z.literal('moveClaim'), ...claimNameShape, place: claimPlaceSchema}),
	z.object({
		type: z.literal('concludeClaim'), ...claimNameShape, attemptId: z.string().nullable(),
		outcome: z.discriminatedUnion('type', [...claimOutcomeSchema.options, z.object({type: z.literal('notRun')})]),
	}),
]);
export type Change = z.infer<typeof changeSchema>;

/** A change with what its sender said about it. */
export const commandSchema = z.object({
	commandId: commandIdSchema.nullable(),
	/** Accept only while the catalog is at this revision. */
	ifRevision: z.number().int().nonnegative().nullable(),
	change: changeSchema,
});
export type Command = z.infer<typeof commandSchema>;

export type CommandResult
	= | {readonly type: 'accepted'; readonly revision: number}
		| {readonly type: 'refused'; readonly code: RefusalCode; readonly message: string; readonly revision: number}
		| {readonly type: 'claimed'}
		| {readonly type: 'claimHeld'; readonly state: ClaimState | {readonly type: 'differentBody'}; readonly requestId: string; readonly place: ClaimPlace | null};

export type RefusalCode = 'exists' | 'unknown' | 'conflict' | 'invalid' | 'stale';

export type ClaimState = {readonly type: 'inProgress'} | ClaimOutcome;

export type HostStatus = 'serving' | 'draining' | 'stopped';

/** What an endpoint's agent has to bring about. */
export type Assignment = {
	readonly fleetId: string;
	readonly versionId: string;
	/** Log index of the order; grows with every order, so it fences engines. */
	readonly fencingNumber: number;
};

export type HostRecord = {
	readonly announcement: Announcement;
	readonly status: HostStatus;
	readonly readyVersionId: string | null;
	/** Adapters of the ready version that the engine holds; missing if none. */
	readonly readyAdapterIds?: readonly string[];
	readonly assignment: Assignment | null;
};

export type FleetRecord = {
	readonly fleetId: string;
	readonly provider: string;
	readonly versionId: string;
	readonly previousVersionId: string | null;
	readonly replicas: number;
	readonly zoneIds: readonly string[];
	readonly maxPerZone?: number;
	readonly minCapacity?: number;
	/** A fleet carries weights only after its first `load`. */
	readonly isLoaded: boolean;
	/** Adapters, of this version or another, that its hosts hold while they hold the adapter's version; missing if none ever was. */
	readonly adapters?: FleetAdapters;
};

export type FleetAdapters = {
	/** `adapterKeyOf` each, sorted. */
	readonly keys: readonly string[];
	/** Log index of the last order about them; fences engines as an assignment's number does. */
	readonly fencingNumber: number;
};

export type AdapterRecord = {
	readonly adapterId: string;
	readonly versionId: string;
	readonly manifestId: ManifestId;
	readonly isWithdrawn: boolean;
};

export type VersionRecord = {
	readonly versionId: string;
	readonly manifestId: ManifestId;
	readonly isWithdrawn: boolean;
};

export type ServiceRecord = {
	readonly repeatable: boolean;
	/** Missing while the default is in force. */
	readonly objective?: Objective;
};

/** The share of a model's traffic that goes to a fleet, in percent. */
export type TrafficShare = {readonly fleetId: string; readonly percent: number};

export type RolloutState = 'running' | 'stopped' | 'done' | 'rolledBack';

/** A move of traffic between two fleets in steps; the plan and how far it has come. */
export type RolloutRecord = {
	readonly modelId: string;
	readonly fromFleetId: string;
	readonly toFleetId: string;
	/** Of the model's whole traffic, to be moved in all. */
	readonly percent: number;
	readonly stepPercent: number;
	/** How long a step must prove itself before the next. */
	readonly holdMs: number;
	/** Failed requests of the target fleet, in percent, above which the move stops by itself. */
	readonly maxErrorPercent: number;
	readonly state: RolloutState;
	readonly movedPercent: number;
	/** Steps done. */
	readonly step: number;
	/** Why it stopped. */
	readonly detail: string;
	readonly trafficBefore: readonly TrafficShare[];
};

/** The configuration that is in force on every host. Plain JSON with sorted keys on the wire. */
export type Catalog = {
	revision: number;
	/** Digest over all accepted changes in order; equal revisions with unequal digests mean a diverged host. */
	digest: string;
	/** Given once, by the first leader; missing until then. */
	systemId?: string;
	models: Record<string, {readonly traffic: readonly TrafficShare[]}>;
	versions: Record<string, VersionRecord>;
	/** By `adapterKeyOf`. */
	adapters: Record<string, AdapterRecord>;
	fleets: Record<string, FleetRecord>;
	services: Record<string, ServiceRecord>;
	teams: Record<string, {readonly keyDigest: string; readonly share: number}>;
	hosts: Record<string, HostRecord>;
	/** By model. */
	rollouts: Record<string, RolloutRecord>;
};

/** One claim of a not-repeatable call. */
export type Claim = {
	readonly requestId: string;
	readonly bodyDigest: string;
	readonly atMs: number;
	/** Its present endpoint; `null` when none was ready. */
	readonly place: ClaimPlace | null;
	readonly state: ClaimState;
};

/** The lists of the ledger that are taken from at the head. */
export type LedgerList = 'claimOrder' | 'claimBodies' | 'resultOrder';

/** What only control hosts keep: claims and the results of recent commands. */
export type Ledger = {
	claims: Record<string, Claim>;
	/** How many there are. Older snapshots don't say. */
	claimCount?: number;
	/** Claims in the order of their time, oldest first; may name claims that are gone. */
	claimOrder: Array<{readonly key: string; readonly atMs: number}>;
	/** Claims whose answers are kept, oldest first. */
	claimBodies: string[];
	claimBodyBytes: number;
	/** The latest time that a claim has named. */
	claimClockMs: number;
	results: Record<string, CommandResult>;
	/** What change each kept result is about, as `changeDigest` gives it. Older snapshots have none, or not for all results. */
	resultDigests?: Record<string, string>;
	/** Command ids in the order of acceptance, for bounded memory. */
	resultOrder: string[];
	/** How many items at the head of each list are done with; see `takeFirst`. Older snapshots have none. */
	starts?: Record<LedgerList, number>;
};
