import type {ConsensusMessage, ReceiverStamp} from '@bitternpaddle/protocol';
import type {
	HardState, LogEntry, Members, Snapshot,
} from '@bitternpaddle/state';
import type {Random} from '../utils/random.js';

export type ConsensusOptions = {
	readonly selfId: string;
	/** Members while the log names none. */
	readonly initialMembers: Members;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | null;
	readonly entries: readonly LogEntry[];
	readonly random: Random;
	readonly nowMs: number;
	/**
	 * A follower that hears nothing for this long stands for election; each
	 * wait is drawn from once to twice this. @default 600
	 */
	readonly electionTimeoutMs?: number;
	/** @default 100 */
	readonly heartbeatMs?: number;
	/**
	 * How long a quorum's word stands for the leader. Below `electionTimeoutMs`,
	 * so that it has run out before anybody else can be elected. @default 450
	 */
	readonly leaseMs?: number;
	/** Entries in one message. @default 512 */
	readonly maxBatchEntries?: number;
	/** Entries on their way to one member without an answer. @default 4096 */
	readonly maxInFlightEntries?: number;
	/** A snapshot that was not confirmed for this long is sent again. @default 5000 */
	readonly snapshotTimeoutMs?: number;
};

export type ConsensusRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/**
 * How a member is supplied: `probe` looks for the place where the logs agree,
 * one request at a time; `stream` sends on without waiting for answers;
 * `snapshot` waits until the one that was sent is confirmed.
 */
export type ReplicationMode = 'probe' | 'stream' | 'snapshot';

/** What the leader knows of one other member. */
export type PeerProgress = {
	matchIndex: number;
	nextIndex: number;
	/** Leader's clock when it sent the newest message that this member answered. */
	answeredSentAtMs: number;
	mode: ReplicationMode;
	snapshotSentAtMs: number;
	/** The newest stamp in this member's answers, sent back to it. */
	stamp: ReceiverStamp | null;
};

export type ConsensusState = {
	readonly selfId: string;
	readonly options: Required<Pick<ConsensusOptions, 'electionTimeoutMs' | 'heartbeatMs' | 'leaseMs' | 'maxBatchEntries' | 'maxInFlightEntries' | 'snapshotTimeoutMs'>>;
	readonly random: Random;
	/** Tells this start of the process from earlier ones, whose clock was another. */
	readonly incarnation: number;
	initialMembers: Members;
	role: ConsensusRole;
	term: number;
	votedFor: string | null;
	leaderId: string | null;
	/** Entries behind the snapshot; `entries[0]` has index `snapshotIndex + 1`. */
	entries: LogEntry[];
	snapshot: Snapshot | null;
	members: Members;
	commitIndex: number;
	/** Entries up to here are synced on this host. */
	durableIndex: number;
	electionDueAtMs: number;
	leaderHeardAtMs: number;
	/** Own clock when this host last held all that a leader with a lease had committed. */
	contactAtMs: number;
	heartbeatDueAtMs: number;
	votes: Set<string>;
	peers: Map<string, PeerProgress>;
	/** Since when the leadership is being handed over; `null` while it is not. */
	transferSinceMs: number | null;
};

export type ConsensusEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'message'; readonly from: string; readonly message: ConsensusMessage}
		| {readonly type: 'propose'; readonly token: number; readonly payload: LogEntry['payload']}
	/** Everything up to `index` is on disk, as written in `term`. */
		| {readonly type: 'persisted'; readonly index: number; readonly term: number}
		| {readonly type: 'compacted'; readonly snapshot: Snapshot}
	/** Hand the leadership over to a voter that is up to date; ignored by others than the leader. */
		| {readonly type: 'transferLeadership'}
	/** The first voters have agreed who they are; see `formation.ts`. */
		| {readonly type: 'formed'; readonly members: Members};

/** Why a proposal was not appended. */
export type RejectionReason = 'notLeader' | 'handingOver' | 'membersBusy' | 'invalidMembers';

export type ConsensusEffect
	/** Must be synced before any later `send` with `afterSync` leaves. */
	= | {readonly type: 'persist'; readonly hardState: HardState | null; readonly truncateFrom: number | null; readonly entries: readonly LogEntry[]}
		| {readonly type: 'installSnapshot'; readonly snapshot: Snapshot; readonly hardState: HardState}
		| {readonly type: 'send'; readonly to: string; readonly message: ConsensusMessage; readonly afterSync: boolean}
		| {readonly type: 'commit'; readonly entries: readonly LogEntry[]}
		| {readonly type: 'proposed'; readonly token: number; readonly index: number; readonly term: number}
		| {readonly type: 'rejected'; readonly token: number; readonly reason: RejectionReason}
		| {readonly type: 'roleChanged'; readonly role: ConsensusRole; readonly term: number; readonly leaderId: string | null};
