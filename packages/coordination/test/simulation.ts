import type {ConsensusMessage} from '@bitternpaddle/protocol';
import type {
	HardState, LogEntry, Members, Snapshot,
} from '@bitternpaddle/state';
import {
	createConsensus, createRandom, hasLeaderLease, hostOfMember, isInContact, membersAt, memberIdOf, memberIdWithoutDisk, planMembers, stepConsensus,
	type ConsensusEffect, type ConsensusEvent, type ConsensusState,
} from '@bitternpaddle/coordination';

type Disk = {hardState: HardState; snapshot: Snapshot | null; entries: LogEntry[]};
type Unsynced = Extract<ConsensusEffect, {type: 'persist' | 'installSnapshot' | 'send'}>;

/** One start of one host; its clock is reset with each start. */
type Node = {
	readonly id: string;
	disk: Disk;
	state: ConsensusState;
	clockOffsetMs: number;
	isUp: boolean;
	isSuspended: boolean;
	/** Writes and messages that wait for the next sync, in order. */
	unsynced: Unsynced[];
	/** Names of the applied entries; the state that a snapshot holds. */
	applied: string[];
	wasLeader: boolean;
	leadingSinceMs: number;
	standbys: Map<string, number>;
};

type Packet = {readonly from: string; readonly to: string; readonly message: ConsensusMessage};

export class BrokenInvariantError extends Error {
	override readonly name = 'BrokenInvariantError';
}

const emptyDisk = (): Disk => ({hardState: {term: 0, votedFor: null}, snapshot: null, entries: []});
const nameOf = (entry: LogEntry): string => `${entry.term}:${JSON.stringify(entry.payload)}`;
const initialVoterCount = 3;

export type SimulationOptions = {
	/** Target number of voters; there are three initially. @default 3 */
	readonly voterCount?: number;
	/** @default none */
	readonly hostsWithoutDisk?: readonly string[];
	/** Time after which a silent voter is replaced. @default 3000 */
	readonly replaceAfterMs?: number;
};

/** Simulates control hosts with a network and disks that fail according to the schedule. Checks the invariants after each step. */
export class Simulation {
	nowMs = 1000;
	packets: Packet[] = [];
	readonly nodes = new Map<string, Node>();
	/** Committed entries by index, as first reported by any host. */
	readonly committed: string[] = [];
	leadersByTerm = new Map<number, string>();
	partitions = new Set<string>();
	accepted = 0;
	private starts = 0;
	private proposals = 0;
	private disks = 0;
	private readonly commitTimes: Array<{readonly atMs: number; readonly index: number}> = [];
	private readonly initialMembers: Members;
	private readonly voterCount: number;
	private readonly replaceAfterMs: number;

	constructor(hostIds: readonly string[], {voterCount = 3, hostsWithoutDisk = [], replaceAfterMs = 3000}: SimulationOptions = {}) {
		this.voterCount = voterCount;
		this.replaceAfterMs = replaceAfterMs;
		const ids = hostIds.map(hostId => hostsWithoutDisk.includes(hostId) ? memberIdWithoutDisk(hostId, '0') : memberIdOf(hostId, '0'));
		this.initialMembers = {voters: ids.slice(0, initialVoterCount), learners: []};
		for (const id of ids) {
			this.start(id, emptyDisk());
		}
	}

	get hosts(): Node[] {
		return [...this.nodes.values()];
	}

	clock(node: Node): number {
		return this.nowMs + node.clockOffsetMs;
	}

	start(id: string, disk: Disk): void {
		this.starts++;
		const clockOffsetMs = (100_000 * (this.starts % 5)) - this.nowMs;
		const node: Node = {
			id, disk, clockOffsetMs, isUp: true, isSuspended: false, unsynced: [], applied: JSON.parse(disk.snapshot?.state ?? '[]') as string[],
			wasLeader: false, leadingSinceMs: 0, standbys: new Map(),
			state: createConsensus({
				selfId: id, initialMembers: this.initialMembers.voters.includes(id) ? this.initialMembers : {voters: [], learners: []},
				hardState: disk.hardState, snapshot: disk.snapshot, entries: disk.entries, random: createRandom(this.starts), nowMs: this.nowMs + clockOffsetMs,
				snapshotTimeoutMs: 1000, maxBatchEntries: 4, maxInFlightEntries: 8, maxProbeBytes: 300, maxBatchBytes: 400, maxInFlightBytes: 800,
				snapshotPartLength: 120, snapshotPartTimeoutMs: 500,
			}),
		};
		this.nodes.set(id, node);
	}

	dispatch(node: Node, event: ConsensusEvent): void {
		if (!node.isUp || node.isSuspended) {
			return;
		}

		const effects = stepConsensus(node.state, event, this.clock(node));
		for (const effect of effects) {
			this.perform(node, effect);
		}

		if (node.state.role === 'leader' && !node.wasLeader) {
			node.leadingSinceMs = this.clock(node);
		}

		node.wasLeader = node.state.role === 'leader';
		this.check();
	}

	/** Performs and syncs the pending writes, then sends the messages that waited for the sync. */
	sync(node: Node): void {
		if (!node.isUp || node.isSuspended) {
			return;
		}

		const tasks = node.unsynced;
		node.unsynced = [];
		for (const task of tasks) {
			if (task.type === 'send') {
				this.packets.push({from: node.id, to: task.to, message: task.message});
			} else {
				writeTo(node.disk, task);
			}
		}

		const last = tasks.findLast(task => task.type === 'persist' && task.entries.length > 0);
		if (last?.type === 'persist') {
			const {index, term} = last.entries.at(-1)!;
			this.dispatch(node, {type: 'persisted', index, term});
		}
	}

	/** Simulates a power loss: the first `writtenTasks` unsynced writes are on disk, and no waiting message was sent. */
	crash(node: Node, writtenTasks: number): void {
		if (!node.isUp) {
			return;
		}

		for (const task of node.unsynced.slice(0, writtenTasks)) {
			if (task.type !== 'send') {
				writeTo(node.disk, task);
			}
		}

		node.unsynced = [];
		node.isUp = false;
	}

	restart(node: Node): void {
		if (!node.isUp) {
			this.start(node.id, node.disk);
		}
	}

	/** Restarts the host with an empty disk, as a different member that knows no voters. */
	loseDisk(node: Node): void {
		this.nodes.delete(node.id);
		this.disks++;
		this.start(memberIdOf(hostOfMember(node.id), String(this.disks)), emptyDisk());
	}

	/** Removes the host permanently. */
	remove(node: Node): void {
		this.nodes.delete(node.id);
	}

	/** Adds a host with an empty disk. */
	add(hostId: string): void {
		this.start(memberIdOf(hostId, '0'), emptyDisk());
	}

	propose(node: Node): void {
		this.proposals++;
		const commandId = `p${this.proposals}`;
		this.dispatch(node, {type: 'propose', token: this.proposals, payload: {type: 'command', command: {commandId: commandId as never, ifRevision: null, change: {type: 'noop'}}}});
	}

	compact(node: Node): void {
		const {state} = node;
		if (!node.isUp || node.isSuspended || state.commitIndex === (state.snapshot?.index ?? 0)) {
			return;
		}

		const entry = state.entries[state.commitIndex - (state.snapshot?.index ?? 0) - 1]!;
		const snapshot: Snapshot = {
			index: entry.index, term: entry.term, members: membersAt(state, entry.index), state: JSON.stringify(node.applied),
		};
		this.sync(node);
		this.dispatch(node, {type: 'compacted', snapshot});
		node.disk.snapshot = snapshot;
		node.disk.entries = node.disk.entries.filter(({index}) => index > snapshot.index);
	}

	deliver(packet: Packet): void {
		const node = this.nodes.get(packet.to);
		if (node !== undefined && !this.partitions.has(`${hostOfMember(packet.from)}>${hostOfMember(packet.to)}`)) {
			this.dispatch(node, {type: 'message', from: packet.from, message: packet.message});
		}
	}

	/** Advances time in small steps; `deliversAll` also syncs and delivers everything at each step. */
	run(durationMs: number, deliversAll: boolean): void {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
			this.nowMs += 50;
			for (const node of this.hosts) {
				this.dispatch(node, {type: 'tick'});
				this.planMembers(node);
			}

			if (deliversAll) {
				this.deliverAll();
			}
		}
	}

	deliverAll(): void {
		for (let round = 0; round < 4; round++) {
			for (const node of this.hosts) {
				this.sync(node);
			}

			const packets = this.packets.filter(({to}) => !this.nodes.get(to)?.isSuspended);
			this.packets = this.packets.filter(({to}) => this.nodes.get(to)?.isSuspended).slice(0, 20);
			for (const packet of packets) {
				this.deliver(packet);
			}
		}
	}

	leader(): Node | undefined {
		return this.hosts.find(node => node.isUp && hasLeaderLease(node.state, this.clock(node)));
	}

	private planMembers(node: Node): void {
		if (node.state.role !== 'leader' || !node.isUp || node.isSuspended) {
			return;
		}

		const nowMs = this.clock(node);
		for (const other of this.hosts) {
			const isCut = this.partitions.has(`${hostOfMember(other.id)}>${hostOfMember(node.id)}`);
			if (other.isUp && !other.isSuspended && !isCut && other.state.leaderId === null) {
				node.standbys.set(other.id, nowMs);
			}
		}

		const members = planMembers({
			state: node.state, standbys: node.standbys, voterCount: this.voterCount, leadingSinceMs: node.leadingSinceMs, nowMs, replaceAfterMs: this.replaceAfterMs,
		});
		if (members !== null) {
			this.dispatch(node, {type: 'propose', token: 0, payload: {type: 'members', members}});
		}
	}

	private perform(node: Node, effect: ConsensusEffect): void {
		switch (effect.type) {
			case 'persist': {
				node.unsynced.push(effect);
				break;
			}

			case 'installSnapshot': {
				node.unsynced.push(effect);
				node.applied = JSON.parse(effect.snapshot.state) as string[];
				this.assertPrefix(node);
				break;
			}

			case 'send': {
				if (effect.afterSync) {
					node.unsynced.push(effect);
				} else {
					this.packets.push({from: node.id, to: effect.to, message: effect.message});
				}

				break;
			}

			case 'commit': {
				this.apply(node, effect.entries);
				break;
			}

			case 'proposed':
			case 'rejected':
			case 'roleChanged': {
				break;
			}
		}
	}

	private apply(node: Node, entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			node.applied.push(nameOf(entry));
			this.accepted += this.committed.length < node.applied.length ? 1 : 0;
			this.committed[node.applied.length - 1] ??= nameOf(entry);
		}

		this.assertPrefix(node);
	}

	/** Checks state machine safety: no committed entry is lost or changed. */
	private assertPrefix(node: Node): void {
		const differingPosition = node.applied.findIndex((name, position) => name !== this.committed[position]);
		if (differingPosition !== -1) {
			throw new BrokenInvariantError(`${node.id} applied ${node.applied[differingPosition]} at ${differingPosition + 1}, committed was ${this.committed[differingPosition]}`);
		}
	}

	private check(): void {
		this.commitTimes.push({atMs: this.nowMs, index: this.committed.length});
		const leaseHolders: string[] = [];
		for (const node of this.hosts.filter(({isUp}) => isUp)) {
			const {state} = node;
			const nowMs = this.clock(node);
			if (state.role === 'leader') {
				const known = this.leadersByTerm.get(state.term) ?? node.id;
				if (known !== node.id) {
					throw new BrokenInvariantError(`${known} and ${node.id} lead term ${state.term}`);
				}

				this.leadersByTerm.set(state.term, node.id);
			}

			if (hasLeaderLease(state, nowMs)) {
				leaseHolders.push(node.id);
				if (state.commitIndex < this.committed.length) {
					throw new BrokenInvariantError(`${node.id} holds the lease at ${state.commitIndex}, but ${this.committed.length} entries are committed`);
				}
			} else if (isInContact(state, nowMs) && state.commitIndex < this.committedAt(this.nowMs - state.options.electionTimeoutMs)) {
				throw new BrokenInvariantError(`${node.id} is in contact at ${state.commitIndex} and lacks what was committed an election timeout ago`);
			}
		}

		if (leaseHolders.length > 1) {
			throw new BrokenInvariantError(`${leaseHolders.join(' and ')} hold the lease at once`);
		}
	}

	private committedAt(atMs: number): number {
		return this.commitTimes.findLast(time => time.atMs <= atMs)?.index ?? 0;
	}
}

const writeTo = (disk: Disk, task: Exclude<Unsynced, {type: 'send'}>): void => {
	if (task.type === 'installSnapshot') {
		disk.snapshot = task.snapshot;
		disk.hardState = task.hardState;
		disk.entries = [];
		return;
	}

	disk.hardState = task.hardState ?? disk.hardState;
	const baseIndex = disk.snapshot?.index ?? 0;
	if (task.truncateFrom !== null) {
		disk.entries = disk.entries.slice(0, task.truncateFrom - baseIndex - 1);
	}

	disk.entries = [...disk.entries, ...task.entries.filter(({index}) => index > baseIndex)];
};
