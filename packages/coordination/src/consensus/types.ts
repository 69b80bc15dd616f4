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
	/** Maximum number of unacknowledged entries per member. @default 4096 */
	readonly maxInFlightEntries?: number;
	/** A snapshot that is not confirmed within this time is sent again. @default 5000 */
	readonly snapshotTimeoutMs?: number;
};

export type ConsensusRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/**
 * How entries are replicated to a member: `probe` searches for the index where
 * the logs match, one request at a time; `stream` pipelines requests without
 * waiting for responses; `snapshot` waits until the sent snapshot is confirmed.
 */
export type ReplicationMode = 'probe' | 'stream' | 'snapshot';

/** The leader's view of one other member. */
export type PeerProgress = {
	matchIndex: number;
	nextIndex: number;
	/** When the leader sent the newest message that this member acknowledged, by the leader's clock. */
	acknowledgedSentAtMs: number;
	mode: ReplicationMode;
	snapshotSentAtMs: number;
	/** The newest stamp in this member's responses, which the leader echoes. */
	stamp: ReceiverStamp | null;
};

export type ConsensusState = {
	readonly selfId: string;
	readonly options: Required<Pick<ConsensusOptions, 'electionTimeoutMs' | 'heartbeatMs' | 'leaseMs' | 'maxBatchEntries' | 'maxInFlightEntries' | 'snapshotTimeoutMs'>>;
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
export type RejectionReason = 'notLeader' | 'handingOver' | 'membersBusy' | 'invalidMembers';

export type ConsensusEffect
	/** Must be synced before any later `send` with `afterSync` is sent. */
	= | {readonly type: 'persist'; readonly hardState: HardState | null; readonly truncateFrom: number | null; readonly entries: readonly LogEntry[]}
		| {readonly type: 'installSnapshot'; readonly snapshot: Snapshot; readonly hardState: HardState}
		| {readonly type: 'send'; readonly to: string; readonly message: ConsensusMessage; readonly afterSync: boolean}
		| {readonly type: 'commit'; readonly entries: readonly LogEntry[]}
		| {readonly type: 'proposed'; readonly token: number; readonly index: number; readonly term: number}
		| {readonly type: 'rejected'; readonly token: number; readonly reason: RejectionReason}
		| {readonly type: 'roleChanged'; readonly role: ConsensusRole; readonly term: number; readonly leaderId: string | null};
