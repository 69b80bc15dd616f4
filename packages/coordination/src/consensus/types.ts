import type {ConsensusMessage, ReceiverStamp} from '@bitternpaddle/protocol';
import type {
	HardState, LogEntry, Members, Snapshot,
} from '@bitternpaddle/state';
import type {Random} from '../utils/random.js';

export type ConsensusOptions = {
	readonly selfId: string;
	/** Members to use while the log contains none. */
	readonly initialMembers: Members;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | null;
	readonly entries: readonly LogEntry[];
	readonly random: Random;
	readonly nowMs: number;
	/**
	 * A follower that receives no message from a leader for this long starts an
	 * election; each timeout is chosen at random between this and twice this. @default 600
	 */
	readonly electionTimeoutMs?: number;
	/** @default 100 */
	readonly heartbeatMs?: number;
	/**
	 * Duration of the lease that a quorum's responses grant to the leader. Below
	 * `electionTimeoutMs`, so that it expires before another leader can be elected. @default 450
	 */
	readonly leaseMs?: number;
	/** Maximum number of entries in one message. @default 512 */
	readonly maxBatchEntries?: number;
	/** Maximum size of the entries in one message; a larger entry is sent alone. @default 1048576 */
	readonly maxBatchBytes?: number;
	/** Maximum size of the entries in a message to a member whose log may not match: it is repeated until the member answers. @default 16384 */
	readonly maxProbeBytes?: number;
	/** Maximum number of unacknowledged entries per member. @default 4096 */
	readonly maxInFlightEntries?: number;
	/** Maximum size of the unacknowledged entries per member; a larger entry is sent if no other is unacknowledged. @default 4194304 */
	readonly maxInFlightBytes?: number;
	/** Maximum size of the leader's uncommitted entries; further proposals are rejected. A larger entry is accepted if no other is uncommitted. @default 16777216 */
	readonly maxUncommittedBytes?: number;
	/** A snapshot that is not confirmed within this time is sent again. @default 5000 */
	readonly snapshotTimeoutMs?: number;
	/** Length of the parts, in UTF-16 code units, in which a snapshot is sent that is longer than one. @default 262144 */
	readonly snapshotPartLength?: number;
	/** A part of a snapshot that is not confirmed within this time is sent again. @default 1000 */
	readonly snapshotPartTimeoutMs?: number;
};

export type ConsensusRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/**
 * How entries are replicated to a member: `probe` searches for the index where
 * the logs match, one request at a time; `stream` pipelines requests without
 * waiting for responses; `snapshot` waits until the sent snapshot is confirmed.
 */
export type ReplicationMode = 'probe' | 'stream' | 'snapshot';

/** A message with entries that a member has not acknowledged. */
export type SentBatch = {readonly lastIndex: number; readonly sizeBytes: number};

/** The leader's view of one other member. */
export type PeerProgress = {
	matchIndex: number;
	nextIndex: number;
	/** When the leader sent the newest message that this member acknowledged, by the leader's clock. */
	acknowledgedSentAtMs: number;
	mode: ReplicationMode;
	/** In `stream` mode, in the order of their entries. */
	unacknowledged: SentBatch[];
	/** The snapshot that is being sent; it stays the same until the member has it, also if the log is compacted again. */
	snapshot: Snapshot | null;
	/** Number of UTF-16 code units of the snapshot that the member has confirmed. */
	snapshotOffset: number;
	/** When the snapshot or its latest part was sent. */
	snapshotSentAtMs: number;
	/** The newest stamp in this member's responses, which the leader echoes. */
	stamp: ReceiverStamp | null;
};

/** The parts of a snapshot that a member has received from its leader. */
export type IncomingSnapshot = {
	readonly from: string;
	/** Term of the leader that sends it. */
	readonly leaderTerm: number;
	readonly index: number;
	readonly parts: string[];
	receivedLength: number;
};

/** Timeouts and limits, with defaults. */
export type ConsensusLimits = Required<Omit<ConsensusOptions, 'selfId' | 'initialMembers' | 'hardState' | 'snapshot' | 'entries' | 'random' | 'nowMs'>>;

export type ConsensusState = {
	readonly selfId: string;
	readonly options: ConsensusLimits;
	readonly random: Random;
	/** Distinguishes this start of the process from earlier ones, which had a different clock. */
	readonly incarnation: number;
	initialMembers: Members;
	role: ConsensusRole;
	term: number;
	votedFor: string | null;
	leaderId: string | null;
	/** Entries after the snapshot; `entries[0]` has index `snapshotIndex + 1`. */
	entries: LogEntry[];
	snapshot: Snapshot | null;
	/** `null` if no snapshot is being received in parts. */
	incomingSnapshot: IncomingSnapshot | null;
	members: Members;
	commitIndex: number;
	/** Entries up to here are synced on this host. */
	durableIndex: number;
	electionDueAtMs: number;
	lastLeaderMessageAtMs: number;
	/** The latest time, by this host's clock, at which it held all entries committed by a leader with a lease. */
	contactAtMs: number;
	heartbeatDueAtMs: number;
	votes: Set<string>;
	peers: Map<string, PeerProgress>;
	/** When the current leadership transfer started; `null` if there is none. */
	transferStartedAtMs: number | null;
};

export type ConsensusEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'message'; readonly from: string; readonly message: ConsensusMessage}
		| {readonly type: 'propose'; readonly token: number; readonly payload: LogEntry['payload']}
	/** All entries up to `index`, the last of which has `term`, are on disk. */
		| {readonly type: 'persisted'; readonly index: number; readonly term: number}
		| {readonly type: 'compacted'; readonly snapshot: Snapshot}
	/** Transfer the leadership to a voter that is up to date; ignored unless this host is the leader. */
		| {readonly type: 'transferLeadership'}
	/** The initial voters have agreed on their set; see `formation.ts`. */
		| {readonly type: 'formed'; readonly members: Members};

/** Why a proposal was not appended. */
export type RejectionReason = 'notLeader' | 'handingOver' | 'membersBusy' | 'invalidMembers' | 'tooManyUncommitted';

export type ConsensusEffect
	/** Must be synced before any later `send` with `afterSync` is sent. */
	= | {readonly type: 'persist'; readonly hardState: HardState | null; readonly truncateFrom: number | null; readonly entries: readonly LogEntry[]}
		| {readonly type: 'installSnapshot'; readonly snapshot: Snapshot; readonly hardState: HardState}
		| {readonly type: 'send'; readonly to: string; readonly message: ConsensusMessage; readonly afterSync: boolean}
		| {readonly type: 'commit'; readonly entries: readonly LogEntry[]}
		| {readonly type: 'proposed'; readonly token: number; readonly index: number; readonly term: number}
		| {readonly type: 'rejected'; readonly token: number; readonly reason: RejectionReason}
		| {readonly type: 'roleChanged'; readonly role: ConsensusRole; readonly term: number; readonly leaderId: string | null};
