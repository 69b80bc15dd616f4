import {
	adapterIdSchema, announcementSchema, changeSchema, commandSchema, logEntrySchema, manifestIdSchema, snapshotSchema, systemIdSchema, versionIdSchema,
	type Catalog, type CommandResult,
} from '@bitternpaddle/state';
import * as z from 'zod';
import {issueSchema} from '../http/issue.js';
import {showSchema} from '../language/statement.js';

const index = z.number().int().nonnegative();
const term = z.number().int().nonnegative();
/** The system that the sender belongs to; `null` until it has heard. */
const sender = {systemId: systemIdSchema.nullable().default(null)};

/** A follower's clock, and the start of its process that the clock belongs to. */
export const receiverStampSchema = z.object({incarnation: z.number().int(), atMs: z.number()});
export type ReceiverStamp = z.infer<typeof receiverStampSchema>;

/** Messages of consensus between control hosts. All are one-way; answers are messages too. */
export const consensusMessageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('voteRequest'), term, isPreVote: z.boolean(), lastIndex: index, lastTerm: term,
		/** The leader of the term before has stepped down and asked for this election. */
		isTransfer: z.boolean().optional(),
	}),
	z.object({
		type: z.literal('voteResponse'), term, isPreVote: z.boolean(), granted: z.boolean(),
	}),
	z.object({
		type: z.literal('appendRequest'), term, previousIndex: index, previousTerm: term, entries: z.array(logEntrySchema),
		commitIndex: index, sentAtMs: z.number(),
		/** Whether the leader held its lease when it sent this. */
		hasLease: z.boolean(),
		/** The newest stamp of the receiver that the leader has heard. */
		echo: receiverStampSchema.nullable(),
	}),
	z.object({
		type: z.literal('appendResponse'), term, success: z.boolean(), matchIndex: index,
		/** From the request; `null` if that was of an older term and renews nothing. */
		sentAtMs: z.number().nullable(),
		stamp: receiverStampSchema,
	}),
	z.object({
		type: z.literal('snapshotRequest'), term, snapshot: snapshotSchema, sentAtMs: z.number(),
	}),
	/** From a leader that has stepped down: stand for election at once. */
	z.object({type: z.literal('timeoutNow'), term}),
]);
export type ConsensusMessage = z.infer<typeof consensusMessageSchema>;

export const consensusEnvelopeSchema = z.object({from: z.string(), to: z.string(), message: consensusMessageSchema});
export const consensusEnvelopesSchema = z.object({envelopes: z.array(consensusEnvelopeSchema)});

/** What a control host has noted about who the first voters are; the answer of `control.formation`. */
export const formationSchema = z.object({
	diskId: z.string().min(1), accepted: z.record(z.string(), z.string()).nullable(), isFormed: z.boolean(),
});
export const formationParametersSchema = z.object({});

/** A control host, as `host#disk`, that no leader supplies. */
export const standbyParametersSchema = z.object({memberId: z.string()});

export type ConsensusEnvelope = z.infer<typeof consensusEnvelopeSchema>;

/** One transfer of weights on a host, as `show transfers` prints it. */
export const transferStatusSchema = z.object({
	versionId: versionIdSchema,
	/** Set when the weights are an adapter to that version. */
	adapterId: adapterIdSchema.optional(),
	manifestId: manifestIdSchema, heldChunks: index, totalChunks: index,
	originBytes: index, peerBytes: index, state: z.enum(['fetching', 'verifying', 'activating', 'ready', 'failed']), detail: z.string(),
});
export type TransferStatus = z.infer<typeof transferStatusSchema>;

/** What a host says about itself with every renewal; control keeps it in memory only. */
export const hostReportSchema = z.object({
	hostId: z.string(),
	role: z.enum(['entry', 'agent']),
	address: z.string(),
	revision: index,
	requestsInFlight: index,
	announcement: announcementSchema.nullable(),
	readyVersionId: versionIdSchema.nullable(),
	/** Adapters of the ready version that the engine holds; missing if none. */
	readyAdapterIds: z.array(adapterIdSchema).optional(),
	/** The host has begun its graceful stop. */
	isLeaving: z.boolean(),
	transfers: z.array(transferStatusSchema),
	/** Hosts that this entry cannot get answers from at present. */
	failingHostIds: z.array(z.string()).optional(),
	/** Outcomes of this entry's attempts since it started, by fleet. */
	fleetOutcomes: z.array(z.object({fleetId: z.string(), answered: index, failed: index})).optional(),
	/** What this entry counted towards each service's objectives since it started. */
	serviceOutcomes: z.array(z.object({
		serviceId: z.string(), total: index, notWhole: index, timed: index, slow: index,
	})).optional(),
});
export type HostReport = z.infer<typeof hostReportSchema>;

export const watchParametersSchema = z.object({
	hostId: z.string(),
	/** Grows whenever the host turns to another control host, so that the newest place is known whatever order reports come in. */
	session: index,
	revision: index,
	/** Digest of the configuration at `revision`. */
	digest: z.string(),
	...sender,
	/** `null` while it is as this control host was told before in this session. */
	report: hostReportSchema.nullable(),
	/** How long control may hold the call when nothing changes. */
	waitMs: index,
});
export type WatchParameters = z.infer<typeof watchParametersSchema>;

export const revisedChangeSchema = z.object({index, change: changeSchema});
export type RevisedChange = z.infer<typeof revisedChangeSchema>;

/**
 * Answer to a watch: the gap since the host's revision, or everything.
 * `unknownHost` asks for the call again, with the report in it.
 */
export type WatchResult
	= | {readonly type: 'changes'; readonly changes: readonly RevisedChange[]; readonly revision: number; readonly digest: string; readonly leaseMs: number}
		| {
			readonly type: 'snapshot';
			/** A catalog as JSON, gzip, base64. */
			readonly catalog: string;
			/** What was accepted since the catalog was written. */
			readonly changes: readonly RevisedChange[];
			readonly revision: number;
			readonly digest: string;
			readonly leaseMs: number;
		}
		| {readonly type: 'unknownHost'};

/**
 * What a control host tells the leader about the hosts that watch at it, once
 * a second or when it changes. Hosts that are not named go on as they were, so
 * that the size does not follow from the number of hosts.
 */
export const foldSchema = z.object({
	from: z.string(),
	/** Grows whenever the sender starts anew with everything. */
	epoch: index,
	/** 0: this is everything, forget what was said before. Otherwise one more than the last of the same epoch. */
	sequence: index,
	/** All hosts are at this revision or later, except those in `behind`. */
	revision: index,
	/** Hosts that are new here, or whose report changed. */
	hosts: z.array(z.object({session: index, report: hostReportSchema})),
	/** Hosts that are no longer heard here. */
	silent: z.array(z.object({hostId: z.string(), session: index, silentMs: z.number().nonnegative()})),
	behind: z.array(z.object({hostId: z.string(), revision: index})),
});
export type Fold = z.infer<typeof foldSchema>;

export type FoldResult
	= | {
		readonly type: 'taken';
		/** The leader's revision, read while a quorum followed it. */
		readonly revision: number;
		/** How long the sender may renew leases on this word. */
		readonly leaseMs: number;
	}
	| {readonly type: 'wantsAll'};

/** What a control host heard last from the hosts that watch at it. */
export const reportsParametersSchema = z.object({});

export const inForceParametersSchema = z.object({...sender, revision: index, isForwarded: z.boolean().default(false)});

/** How far a revision has come. */
export type InForceResult = {
	readonly revision: number;
	/** Hosts that are in service, or may still be. */
	readonly hosts: number;
	readonly inForce: number;
	/** Hosts in service that have not confirmed the revision; the first hundred. */
	readonly missing: readonly string[];
	/** Hosts whose lease has run out: they take no work, so they count on neither side. */
	readonly outOfService: readonly string[];
};

export const proposeParametersSchema = z.object({...sender, command: commandSchema, isForwarded: z.boolean().default(false)});
export type ProposeParameters = z.input<typeof proposeParametersSchema>;

export const queryParametersSchema = z.object({...sender, show: showSchema, isForwarded: z.boolean().default(false)});

export type QueryRow = Record<string, string | number | boolean | null>;
export type QueryResult = {
	readonly revision: number;
	readonly rows: readonly QueryRow[];
	/** Entries that did not answer, where entries were asked; without the field all did. */
	readonly missingEntries?: readonly string[];
};

export const settleParametersSchema = z.object({
	attemptId: z.string(),
	/** The incarnation that the request was sent to. */
	incarnation: index,
	issue: issueSchema,
	/** End the request if it runs and may be ended: nobody waits for its answer. */
	isCancel: z.boolean().default(false),
});
export type SettleParameters = z.input<typeof settleParametersSchema>;
/** `unknown`: this door cannot know, because its agent was restarted or has forgotten the request. */
export type SettleResult = {readonly type: 'ran' | 'running' | 'notRun' | 'unknown'};

export const loadParametersSchema = z.object({});
/** Requests that run at a host, of all entries. */
export const loadResultSchema = z.object({running: index});
export type LoadResult = z.infer<typeof loadResultSchema>;

/** Chunks that a neighbour gained, and how long the sources of weights want to be left alone. */
export const haveParametersSchema = z.object({
	from: z.string(), address: z.string(), manifestId: manifestIdSchema, chunks: z.array(index),
	/** The sender has just begun: `chunks` is all that it has, and it wants to be told the same. */
	isGreeting: z.boolean(),
	limitsMs: z.object({origin: index, store: index}),
});
export type HaveParameters = z.infer<typeof haveParametersSchema>;

/** Error codes of JSON-RPC answers; the numbers are in the range left to applications. */
export const rpcErrorCodes = {
	notLeader: 1001,
	noQuorum: 1002,
	invalid: 1003,
	unauthorized: 1004,
	foreignSystem: 1005,
} as const;

export type ProposeResult = CommandResult;
