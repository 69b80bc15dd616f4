import process from 'node:process';
import t from 'tap';
import {Simulation} from './simulation.js';
import {createRandom, hostOfMember, type Random} from '@bitternpaddle/coordination';

const schedules = Number(process.env.BITTERNPADDLE_SCHEDULES ?? 60);
const firstSeed = Number(process.env.BITTERNPADDLE_SEED ?? 20_261_203);
const hostIds = ['a', 'b', 'c', 'd', 'e', 'f'];

/** A host that is back counts as lost until it has had this time to catch up. */
const catchUpMs = 6000;
/** An operator's changes, as in a storm of them. */
const changeEveryMs = 350;

type Node = Simulation['hosts'][number];

class Schedule {
	readonly simulation: Simulation;
	private newcomers = 0;

	constructor(private readonly random: Random, voterCount: number, hosts: readonly string[]) {
		this.simulation = new Simulation(hosts, {voterCount});
		this.simulation.run(8000, true);
	}

	/** Lets time pass while an operator sends one change after the other. */
	change(durationMs: number): void {
		for (let passedMs = 0; passedMs < durationMs; passedMs += changeEveryMs) {
			const leader = this.simulation.leader();
			if (leader !== undefined) {
				this.simulation.propose(leader);
			}

			this.simulation.run(changeEveryMs, true);
		}
	}

	pick(count: number): Node[] {
		const nodes = [...this.simulation.hosts];
		const picked: Node[] = [];
		while (picked.length < count) {
			picked.push(...nodes.splice(this.random.between(0, nodes.length - 1), 1));
		}

		return picked;
	}

	restartInTurn(): void {
		for (const node of this.simulation.hosts) {
			this.simulation.crash(node, this.random.between(0, 2));
			this.change(750);
			this.simulation.restart(node);
			this.change(1250);
		}
	}

	/** Two hosts lose power for seconds, one of them its disk. */
	loseTwo(): void {
		const [kept, emptied] = this.pick(2);
		for (const node of [kept!, emptied!]) {
			this.simulation.crash(node, this.random.between(0, 2));
		}

		this.change(this.random.between(500, 7000));
		this.simulation.restart(kept!);
		this.simulation.loseDisk(emptied!);
	}

	/** The leader is gone for good, and an empty host comes at another address. */
	replaceLeader(): void {
		const leader = this.simulation.leader();
		if (leader === undefined) {
			return;
		}

		this.simulation.remove(leader);
		this.change(2200);
		this.newcomers++;
		this.simulation.add(`new${this.newcomers}`);
	}

	/** Right after a change was accepted two hosts lose their disks, and all others lose power. */
	loseDisksAndPower(): void {
		const emptied = this.pick(2);
		const nodes = [...this.simulation.hosts];
		for (const node of nodes) {
			this.simulation.crash(node, 0);
		}

		this.simulation.packets = [];
		this.simulation.run(1000, true);
		for (const node of nodes) {
			if (emptied.includes(node)) {
				this.simulation.loseDisk(node);
			} else {
				this.simulation.restart(node);
			}
		}
	}
}

const disturbances = ['restartInTurn', 'loseTwo', 'replaceLeader'] as const;

/** Why the group did not come back as it should; `null` if it did. */
const play = (seed: number, voterCount: number, hosts: readonly string[]): string | null => {
	const random = createRandom(seed);
	const schedule = new Schedule(random, voterCount, hosts);
	const {simulation} = schedule;
	for (let round = 0; round < 3; round++) {
		schedule[disturbances[random.between(0, disturbances.length - 1)]!]();
		schedule.change(catchUpMs);
	}

	const before = simulation.committed.length;
	schedule.change(changeEveryMs);
	if (simulation.committed.length === before) {
		return 'nothing was accepted before the last fault';
	}

	schedule.loseDisksAndPower();
	simulation.run(4000, true);
	const leader = simulation.leader();
	if (leader === undefined) {
		return 'nobody leads four seconds after all are back';
	}

	const accepted = simulation.committed.length;
	simulation.propose(leader);
	simulation.run(500, true);
	return simulation.committed.length > accepted ? null : 'the next change is not accepted';
};

const failuresOf = (voterCount: number, hosts: readonly string[]): string[] => {
	const failures: string[] = [];
	for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
		const failure = play(seed, voterCount, hosts);
		if (failure !== null) {
			failures.push(`seed ${seed}: ${failure}`);
		}
	}

	return failures;
};

// An operator's change is accepted; in the same moment two hosts lose their disks
// and all others lose power. A second later all are back. Whoever asks then must
// find the change in force, and the next one accepted: five voters have three left.
t.test('two disks lost while all others lose power, after other losses', async t => {
	t.same(failuresOf(5, hostIds), []);
});

// The same with no host that stands by: the hosts that lost their disks come back
// as new members, and are taken in again before the next loss.
t.test('two disks lost of five, and no host stands by', async t => {
	t.same(failuresOf(5, hostIds.slice(0, 5)), []);
});

// The same with a voter in each of three zones: where both disks were voters' disks,
// the third voter can never be elected, and no change is accepted any more.
t.test('three voters do not outlive the loss of two disks', async t => {
	const failures = failuresOf(3, hostIds.slice(0, 3));
	t.ok(failures.length > 0);
	t.ok(failures.every(failure => failure.endsWith('nobody leads four seconds after all are back') || failure.endsWith('nothing was accepted before the last fault')));
});

// A control host without a disk follows the log. It is closer to all entries than
// the next disk, and a voter is lost: were it made a voter, its next restart would
// forget what it was counted for.
t.test('a host without a disk never votes', async t => {
	const simulation = new Simulation(['a', 'b', 'c', 'm'], {hostsWithoutDisk: ['m']});
	simulation.run(4000, true);
	const lost = simulation.hosts.find(node => node !== simulation.leader() && hostOfMember(node.id) !== 'm');
	simulation.crash(lost!, 0);
	simulation.run(8000, true);
	const {voters, learners} = simulation.leader()!.state.members;
	t.notOk(voters.some(voter => hostOfMember(voter) === 'm'));
	t.same(learners.map(learner => hostOfMember(learner)), ['m'], 'it is kept up to date');
});
