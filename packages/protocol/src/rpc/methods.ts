import {
	adapterIdSchema, announcementSchema, changeSchema, commandSchema, logEntrySchema, manifestIdSchema, snapshotSchema, systemIdSchema, versionIdSchema,
	type Catalog, type CommandResult,
} from '@bitternpaddle/state';
import * as z from 'zod';
import {issueSchema} from '../http/issue.js';
import {showSchema} from '../language/statement.js';

const index = z.number().int().nonnegative();
const term = z.number().int().nonnegative();
/** The system that the sender belongs to; `null` until the sender knows it. */
const sender = {systemId: systemIdSchema.nullable().default(null)};

/** A reading of a follower's clock, and the incarnation of the process that the clock belongs to. */
export const receiverStampSchema = z.object({incarnation: z.number().int(), atMs: z.number()});
export type ReceiverStamp = z.infer<typeof receiverStampSchema>;

/** Consensus messages between control hosts. All are one-way; responses are separate messages. */
export const consensusMessageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('voteRequest'), term, isPreVote: z.boolean(), lastIndex: index, lastTerm: term,
		/** The leader of the previous term has stepped down and requested this election. */
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
		/** The latest stamp that the leader has received from the addressee. */
		echo: receiverStampSchema.nullable(),
	}),
	z.object({
		type: z.literal('appendResponse'), term, success: z.boolean(), matchIndex: index,
		/** Copied from the request; `null` if the request was of an older term and renews no lease. */
		sentAtMs: z.number().nullable(),
		stamp: receiverStampSchema,
	}),
	z.object({
		type: z.literal('snapshotRequest'), term, snapshot: snapshotSchema, sentAtMs: z.number(),
	}),
	/** A part of a snapshot that is too long for one message. Members of earlier versions cannot read it. */
	z.object({
		type: z.literal('snapshotPart'), term, snapshot: snapshotSchema.omit({state: true}),
		/** Position of `part` in the state of the snapshot, and the length of that state, in UTF-16 code units. */
		offset: index, totalLength: index, part: z.string(), sentAtMs: z.number(),
	}),
	/** Confirms the parts of the snapshot up to `receivedLength`, from where the leader continues. */
	z.object({
		type: z.literal('snapshotPartResponse'), term, snapshotIndex: index, receivedLength: index, sentAtMs: z.number(), stamp: receiverStampSchema,
	}),
	/** Sent by a leader that has stepped down: the receiver starts an election immediately. */
	z.object({type: z.literal('timeoutNow'), term}),
]);
export type ConsensusMessage = z.infer<typeof consensusMessageSchema>;

export const consensusEnvelopeSchema = z.object({from: z.string(), to: z.string(), message: consensusMessageSchema});
export const consensusEnvelopesSchema = z.object({envelopes: z.array(consensusEnvelopeSchema)});

/** What a control host has recorded about the first voters; the result of `control.formation`. */
export const formationSchema = z.object({
	diskId: z.string().min(1), accepted: z.record(z.string(), z.string()).nullable(), isFormed: z.boolean(),
});
export const formationParametersSchema = z.object({});

/** A control host, as `host#disk`, that receives the log from no leader. */
export const standbyParametersSchema = z.object({
	memberId: z.string(),
	/** Whether a member that does not lead passed the announcement on to the leader. */
	isForwarded: z.boolean().default(false),
});

export type ConsensusEnvelope = z.infer<typeof consensusEnvelopeSchema>;

/** A transfer of weights to a host, as printed by `show transfers`. */
export const transferStatusSchema = z.object({
	versionId: versionIdSchema,
	/** Set if the weights are an adapter for that version. */
	adapterId: adapterIdSchema.optional(),
	manifestId: manifestIdSchema, heldChunks: index, totalChunks: index,
	originBytes: index, peerBytes: index, state: z.enum(['fetching', 'verifying', 'activating', 'ready', 'failed']), detail: z.string(),
});
export type TransferStatus = z.infer<typeof transferStatusSchema>;

/** A host's report about itself, sent with each lease renewal; control hosts keep it in memory only. */
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
	/** The host has started its graceful shutdown. */
	isLeaving: z.boolean(),
	transfers: z.array(transferStatusSchema),
	/** Hosts that currently fail to answer this entry. */
	failingHostIds: z.array(z.string()).optional(),
	/** Outcomes of this entry's attempts since its start, by fleet. */
	fleetOutcomes: z.array(z.object({fleetId: z.string(), answered: index, failed: index})).optional(),
	/** Counts of this entry towards each service's objective since its start. */
	serviceOutcomes: z.array(z.object({
		serviceId: z.string(), total: index, notWhole: index, timed: index, slow: index,
	})).optional(),
});
export type HostReport = z.infer<typeof hostReportSchema>;

export const watchParametersSchema = z.object({
	hostId: z.string(),
	/** Increases whenever the host switches to another control host, so that the latest one is known even if reports arrive out of order. */
	session: index,
	revision: index,
	/** Digest of the configuration at `revision`. */
	digest: z.string(),
	...sender,
	/** `null` if unchanged since the last report to this control host in this session. */
	report: hostReportSchema.nullable(),
	/** Maximum duration of the long poll while nothing changes. */
	waitMs: index,
});
export type WatchParameters = z.infer<typeof watchParametersSchema>;

export const revisedChangeSchema = z.object({index, change: changeSchema});
export type RevisedChange = z.infer<typeof revisedChangeSchema>;

/**
 * Result of a watch: the changes since the host's revision, or a snapshot.
 * `unknownHost` tells the host to repeat the call with its report.
 */
export type WatchResult
	= | {readonly type: 'changes'; readonly changes: readonly RevisedChange[]; readonly revision: number; readonly digest: string; readonly leaseMs: number}
		| {
			readonly type: 'snapshot';
			/** A catalog as JSON, gzip, base64. */
			readonly catalog: string;
			/** Changes accepted since the catalog was encoded. */
			readonly changes: readonly RevisedChange[];
			readonly revision: number;
			readonly digest: string;
			readonly leaseMs: number;
		}
		| {readonly type: 'unknownHost'};

/**
 * Aggregate of the reports of the hosts that watch a control host, sent to the
 * leader once a second or on a change. Hosts that are not listed are unchanged,
 * so the size does not depend on the number of hosts.
 */
export const reportAggregateSchema = z.object({
	from: z.string(),
	/** Increases whenever the sender restarts with a complete aggregate. */
	epoch: index,
	/** 0: this aggregate is complete and replaces all earlier ones. Otherwise one more than that of the previous message of the epoch. */
	sequence: index,
	/** Minimum revision of all hosts except those in `behind`. */
	revision: index,
	/** Hosts that are new at the sender, or whose report changed. */
	hosts: z.array(z.object({session: index, report: hostReportSchema})),
	/** Hosts that the sender no longer receives watches from. */
	silent: z.array(z.object({hostId: z.string(), session: index, silentMs: z.number().nonnegative()})),
	behind: z.array(z.object({hostId: z.string(), revision: index})),
});
export type ReportAggregate = z.infer<typeof reportAggregateSchema>;

export type ReportAggregateResult
	= | {
		readonly type: 'taken';
		/** The leader's revision, read while a quorum confirmed its leadership. */
		readonly revision: number;
		/** How long the sender may renew leases based on this result. */
		readonly leaseMs: number;
	}
	| {readonly type: 'wantsAll'};

/** Requests the latest reports that a control host has received from the hosts that watch it. */
export const reportsParametersSchema = z.object({});

export const inForceParametersSchema = z.object({...sender, revision: index, isForwarded: z.boolean().default(false)});

/** How far a revision has taken effect. */
export type InForceResult = {
	readonly revision: number;
	/** Number of hosts that are, or may still be, in service. */
	readonly hosts: number;
	readonly inForce: number;
	/** The first 100 hosts in service that have not confirmed the revision. */
	readonly missing: readonly string[];
	/** Hosts whose lease has expired: they accept no work, so they are counted neither in `hosts` nor in `inForce`. */
	readonly outOfService: readonly string[];
};

export const proposeParametersSchema = z.object({...sender, command: commandSchema, isForwarded: z.boolean().default(false)});
export type ProposeParameters = z.input<typeof proposeParametersSchema>;

export const queryParametersSchema = z.object({...sender, show: showSchema, isForwarded: z.boolean().default(false)});

export type QueryRow = Record<string, string | number | boolean | null>;
export type QueryResult = {
	readonly revision: number;
	readonly rows: readonly QueryRow[];
	/** Entries that did not respond, if entries were queried; missing if all did. */
	readonly missingEntries?: readonly string[];
};

export const resolveAttemptParametersSchema = z.object({
	attemptId: z.string(),
	/** The agent's incarnation that the request was sent to. */
	incarnation: index,
	issue: issueSchema,
	/** Cancels the request if it is running and may be cancelled, since nobody waits for its answer any more. */
	isCancel: z.boolean().default(false),
});
export type ResolveAttemptParameters = z.input<typeof resolveAttemptParametersSchema>;
/** `unknown`: the request gate has no information, because its agent was restarted or has discarded the record of the request. */
export type AttemptResolution = {readonly type: 'ran' | 'running' | 'notRun' | 'unknown'};

export const loadParametersSchema = z.object({});
/** Number of requests running on a host, from all entries. */
export const loadResultSchema = z.object({running: index});
export type LoadResult = z.infer<typeof loadResultSchema>;

/** Chunks that a peer has obtained, and for how long the sources of weights have requested a backoff. */
export const chunkAnnouncementSchema = z.object({
	from: z.string(), address: z.string(), manifestId: manifestIdSchema, chunks: z.array(index),
	/** The sender has just started the transfer: `chunks` lists all that it holds, and it requests the same from the receiver. */
	isGreeting: z.boolean(),
	limitsMs: z.object({origin: index, store: index}),
});
export type ChunkAnnouncement = z.infer<typeof chunkAnnouncementSchema>;

/** Error codes of JSON-RPC responses, outside the range that JSON-RPC reserves. */
export const rpcErrorCodes = {
	notLeader: 1001,
	noQuorum: 1002,
	invalid: 1003,
	unauthorized: 1004,
	foreignSystem: 1005,
	/** The change was not accepted and never will be; it may be sent again later. */
	tooManyChanges: 1006,
} as const;

export type ProposeResult = CommandResult;
