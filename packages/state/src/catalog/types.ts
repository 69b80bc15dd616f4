import * as z from 'zod';
import {
	adapterIdSchema, commandIdSchema, fleetIdSchema, hostIdSchema, idempotencyKeySchema, manifestIdSchema, modelIdSchema,
	regionIdSchema, requestIdSchema, serviceIdSchema, systemIdSchema, teamIdSchema, versionIdSchema, zoneIdSchema, type ManifestId,
} from '../types/ids.js';

/** An endpoint's announcement. `incarnation` increases with every start of its agent. */
export const announcementSchema = z.object({
	hostId: hostIdSchema,
	zoneId: zoneIdSchema,
	regionId: regionIdSchema,
	serviceId: serviceIdSchema,
	provider: z.string().max(64),
	/** Where the agent listens, `ip:port`. */
	address: z.string(),
	/** Number of requests that the endpoint runs concurrently. */
	capacity: z.number().int().positive(),
	incarnation: z.number().int().nonnegative(),
	kind: z.enum(['engine', 'plain']),
});
export type Announcement = z.infer<typeof announcementSchema>;

/** The ready version of an endpoint, as reported by its agent after querying the engine. */
export const readinessSchema = z.object({
	hostId: hostIdSchema,
	incarnation: z.number().int().nonnegative(),
	versionId: versionIdSchema.nullable(),
	/** Adapters of that version that the engine holds, sorted by name; missing if it holds none. */
	adapterIds: z.array(adapterIdSchema).optional(),
});
export type Readiness = z.infer<typeof readinessSchema>;

/** Service level objective; both shares are percentages of the requests of three days. */
export const objectiveSchema = z.object({
	/** Share of requests with a complete answer. */
	answeredWholePercent: z.number().min(1).max(99.999),
	/** Share of answers whose first token arrives within `firstTokenMs`. */
	firstTokenPercent: z.number().min(1).max(99.999),
	firstTokenMs: z.number().int().positive().max(600_000),
});
export type Objective = z.infer<typeof objectiveSchema>;

/** Applies to services without an objective of their own. */
export const defaultObjective: Objective = {answeredWholePercent: 99.9, firstTokenPercent: 95, firstTokenMs: 1000};

/** The destination of a claimed call, with everything its request gate needs to resolve the attempt. */
export const claimPlaceSchema = z.object({
	hostId: hostIdSchema,
	address: z.string(),
	incarnation: z.number().int().nonnegative(),
	attemptId: z.string(),
	issue: z.object({sender: z.string(), sequence: z.number().int().nonnegative()}),
});
export type ClaimPlace = z.infer<typeof claimPlaceSchema>;

export const claimOutcomeSchema = z.discriminatedUnion('type', [
	/** `body` in base64; `null` if it was too large to retain. */
	z.object({
		type: z.literal('ran'), status: z.number().int(), contentType: z.string(), body: z.string().nullable(),
	}),
	z.object({type: z.literal('mayHaveRun')}),
]);
export type ClaimOutcome = z.infer<typeof claimOutcomeSchema>;

const claimIdentityShape = {
	teamId: teamIdSchema, serviceId: serviceIdSchema, key: idempotencyKeySchema, requestId: requestIdSchema,
};

const adapterIdentityShape = {adapterId: adapterIdSchema, versionId: versionIdSchema};

/**
 * The changes in the log. Changes of claims concern only the control hosts; all
 * others are configuration and are distributed to every host.
 */
export const changeSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('noop')}),
	z.object({type: z.literal('nameSystem'), systemId: systemIdSchema}),
	z.object({type: z.literal('createModel'), modelId: modelIdSchema}),
	z.object({
		type: z.literal('createVersion'), versionId: versionIdSchema, manifestId: manifestIdSchema,
	}),
	z.object({type: z.literal('createAdapter'), ...adapterIdentityShape, manifestId: manifestIdSchema}),
	z.object({
		type: z.literal('createFleet'), fleetId: fleetIdSchema, provider: z.string().max(64), versionId: versionIdSchema,
		replicas: z.number().int().nonnegative(), zoneIds: z.array(zoneIdSchema),
		/** Maximum number of hosts in one zone. */
		maxPerZone: z.number().int().positive().optional(),
		/** Only hosts that run at least this many requests concurrently. */
		minCapacity: z.number().int().positive().optional(),
	}),
	z.object({type: z.literal('createService'), serviceId: serviceIdSchema, repeatable: z.boolean()}),
	z.object({type: z.literal('setObjective'), serviceId: serviceIdSchema, objective: objectiveSchema}),
	z.object({
		type: z.literal('createTeam'), teamId: teamIdSchema, keyDigest: z.string(), share: z.number().positive(),
	}),
	z.object({type: z.literal('load'), versionId: versionIdSchema, fleetId: fleetIdSchema}),
	z.object({type: z.literal('loadAdapter'), ...adapterIdentityShape, fleetId: fleetIdSchema}),
	z.object({type: z.literal('unloadAdapter'), ...adapterIdentityShape, fleetId: fleetIdSchema}),
	z.object({type: z.literal('withdrawAdapter'), ...adapterIdentityShape}),
	z.object({type: z.literal('retireAdapter'), ...adapterIdentityShape}),
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
	z.object({type: z.literal('evacuateZone'), zoneId: zoneIdSchema}),
	z.object({type: z.literal('restoreZone'), zoneId: zoneIdSchema}),
	z.object({type: z.literal('hostJoined'), announcement: announcementSchema}),
	z.object({type: z.literal('hostLeft'), hostId: hostIdSchema, incarnation: z.number().int()}),
	z.object({type: z.literal('replicasChanged'), readiness: z.array(readinessSchema)}),
	z.object({
		type: z.literal('claim'), ...claimIdentityShape, bodyDigest: z.string(), atMs: z.number(), place: claimPlaceSchema.nullable(),
	}),
	z.object({type: z.literal('moveClaim'), ...claimIdentityShape, place: claimPlaceSchema}),
	z.object({
		type: z.literal('concludeClaim'), ...claimIdentityShape, attemptId: z.string().nullable(),
		outcome: z.discriminatedUnion('type', [...claimOutcomeSchema.options, z.object({type: z.literal('notRun')})]),
	}),
]);
export type Change = z.infer<typeof changeSchema>;

/** A change with its id and precondition. */
export const commandSchema = z.object({
	commandId: commandIdSchema.nullable(),
	/** Accepted only if the catalog is at this revision; `null` accepts any. */
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

/** The fleet and version that an endpoint's agent must serve. */
export type Assignment = {
	readonly fleetId: string;
	readonly versionId: string;
	/** Log index of the command that made the assignment. It increases with every command, so engines use it to reject older ones. */
	readonly fencingNumber: number;
};

export type HostRecord = {
	readonly announcement: Announcement;
	readonly status: HostStatus;
	/** The host is in an evacuated zone; missing otherwise. Independent of `status`, so that a restored zone keeps its drains. */
	readonly isEvacuated?: true;
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
	/** A fleet has weights only after its first `load`. */
	readonly isLoaded: boolean;
	/** Adapters of any version of the model, each held by the fleet's hosts while they hold the adapter's version; missing if there never was one. */
	readonly adapters?: FleetAdapters;
};

export type FleetAdapters = {
	/** Sorted keys, see `adapterKeyOf`. */
	readonly keys: readonly string[];
	/** Log index of the last command about them; a fencing number like that of an assignment. */
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
	/** Missing while `defaultObjective` applies. */
	readonly objective?: Objective;
};

/** The share of a model's traffic that goes to a fleet, in percent. */
export type TrafficShare = {readonly fleetId: string; readonly percent: number};

export type RolloutState = 'running' | 'stopped' | 'done' | 'rolledBack';

/** A move of traffic between two fleets in steps: its plan and progress. */
export type RolloutRecord = {
	readonly modelId: string;
	readonly fromFleetId: string;
	readonly toFleetId: string;
	/** Total share to move, in percent of the model's traffic. */
	readonly percent: number;
	readonly stepPercent: number;
	/** Time without failure that a step needs before the next one. */
	readonly holdMs: number;
	/** Percentage of failed requests of the target fleet above which the move stops automatically. */
	readonly maxErrorPercent: number;
	readonly state: RolloutState;
	readonly movedPercent: number;
	/** Number of completed steps. */
	readonly step: number;
	/** Reason for the stop. */
	readonly detail: string;
	readonly trafficBefore: readonly TrafficShare[];
};

/** The configuration that is in force on every host. It is sent as plain JSON with sorted keys. */
export type Catalog = {
	revision: number;
	/** Digest of all accepted changes in order; equal revisions with unequal digests reveal a diverged host. */
	digest: string;
	/** Set once by the first leader; missing until then. */
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
	/** Sorted ids; missing while no zone is evacuated. */
	evacuatedZoneIds?: readonly string[];
};

/** A claim of a call that must run at most once. */
export type Claim = {
	readonly requestId: string;
	readonly bodyDigest: string;
	readonly atMs: number;
	/** Its current endpoint; `null` if none was ready. */
	readonly place: ClaimPlace | null;
	readonly state: ClaimState;
};

/** The lists of the ledger that are used as queues. */
export type LedgerList = 'claimOrder' | 'claimBodies' | 'resultOrder';

/** State that only control hosts hold: claims and the results of recent commands. */
export type Ledger = {
	claims: Record<string, Claim>;
	/** Number of claims. Missing in older snapshots. */
	claimCount?: number;
	/** Claims by time, oldest first; may contain claims that no longer exist. */
	claimOrder: Array<{readonly key: string; readonly atMs: number}>;
	/** Keys of claims with a retained answer, oldest first. */
	claimBodies: string[];
	claimBodyBytes: number;
	/** The latest time of any claim so far. */
	claimClockMs: number;
	results: Record<string, CommandResult>;
	/** Digest of each retained result's change, see `changeDigest`. Missing in older snapshots, or missing for some results. */
	resultDigests?: Record<string, string>;
	/** Command ids in the order in which they were applied, to remove the oldest results. */
	resultOrder: string[];
	/** Number of consumed items at the head of each list, see `removeFirst`. Missing in older snapshots. */
	starts?: Record<LedgerList, number>;
};
