import process from 'node:process';
import t from 'tap';
import {Simulation} from './simulation.js';
import {createRandom, hostOfMember, type Random} from '@bitternpaddle/coordination';

const schedules = Number(process.env.BITTERNPADDLE_SCHEDULES ?? 60);
const firstSeed = Number(process.env.BITTERNPADDLE_SEED ?? 20_261_203);
const hostIds = ['a', 'b', 'c', 'd', 'e', 'f'];

/** Time that a returning host needs to catch up; until then it counts as lost. */
const catchUpMs = 6000;
/** Interval between an operator's changes, as in a burst of them. */
const changeEveryMs = 350;

type Node = Simulation['hosts'][number];

class Schedule {
	readonly simulation: Simulation;
	private addedHosts = 0;

	constructor(private readonly random: Random, voterCount: number, hosts: readonly string[]) {
		this.simulation = new Simulation(hosts, {voterCount});
		this.simulation.run(8000, true);
	}

	/** Advances time while an operator proposes one change after the other. */
	change(durationMs: number): void {
		for (let passedMs = 0; passedMs < durationMs; passedMs += changeEveryMs) {
			const leader = this.simulation.leader();
			if (leader !== undefined) {
				this.simulation.propose(leader);
			}

			this.simulation.run(changeEveryMs, true);
		}
	}

	pickNodes(count: number): Node[] {
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

	/** Two hosts lose power for several seconds, and one of them also its disk. */
	loseTwo(): void {
		const [intact, withLostDisk] = this.pickNodes(2);
		for (const node of [intact!, withLostDisk!]) {
			this.simulation.crash(node, this.random.between(0, 2));
		}

		this.change(this.random.between(500, 7000));
		this.simulation.restart(intact!);
		this.simulation.loseDisk(withLostDisk!);
	}

	/** The leader is removed permanently, and an empty host is added at another address. */
	replaceLeader(): void {
		const leader = this.simulation.leader();
		if (leader === undefined) {
			return;
		}

		this.simulation.remove(leader);
		this.change(2200);
		this.addedHosts++;
		this.simulation.add(`new${this.addedHosts}`);
	}

	/** Immediately after a change was accepted, two hosts lose their disks and all others lose power. */
	loseDisksAndPower(): void {
		const withLostDisk = this.pickNodes(2);
		const nodes = [...this.simulation.hosts];
		for (const node of nodes) {
			this.simulation.crash(node, 0);
		}

		this.simulation.packets = [];
		this.simulation.run(1000, true);
		for (const node of nodes) {
			if (withLostDisk.includes(node)) {
				this.simulation.loseDisk(node);
			} else {
				this.simulation.restart(node);
			}
		}
	}
}

const disturbances = ['restartInTurn', 'loseTwo', 'replaceLeader'] as const;

/** Runs one schedule. Returns why the group did not recover, or `null` if it did. */
const runSchedule = (seed: number, voterCount: number, hosts: readonly string[]): string | null => {
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
		return 'no leader four seconds after all hosts are back';
	}

	const accepted = simulation.committed.length;
	simulation.propose(leader);
	simulation.run(500, true);
	return simulation.committed.length > accepted ? null : 'the next change is not accepted';
};

const collectFailures = (voterCount: number, hosts: readonly string[]): string[] => {
	const failures: string[] = [];
	for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
		const failure = runSchedule(seed, voterCount, hosts);
		if (failure !== null) {
			failures.push(`seed ${seed}: ${failure}`);
		}
	}

	return failures;
};

// An operator's change is accepted; at the same time two hosts lose their disks and
// all others lose power. A second later all are back. The change must then be in
// force, and the next one must be accepted: three of five voters remain.
t.test('five voters survive the loss of two disks while all others lose power, after other losses', async t => {
	t.same(collectFailures(5, hostIds), []);
});

// The same without a standby host: the hosts that lost their disks return as new
// members and are added again before the next loss.
t.test('five voters survive the loss of two disks without a standby host', async t => {
	t.same(collectFailures(5, hostIds.slice(0, 5)), []);
});

// The same with a voter in each of three zones: if both lost disks belong to voters,
// the third voter can never be elected, and no more changes are accepted.
t.test('three voters do not survive the loss of two disks', async t => {
	const failures = collectFailures(3, hostIds.slice(0, 3));
	t.ok(failures.length > 0);
	t.ok(failures.every(failure => failure.endsWith('no leader four seconds after all hosts are back') || failure.endsWith('nothing was accepted before the last fault')));
});

// A control host without a disk replicates the log and is the only learner when a
// voter is lost. If it were promoted to voter, its next restart would lose the
// entries that it was counted for.
t.test('a host without a disk never becomes a voter', async t => {
	const simulation = new Simulation(['a', 'b', 'c', 'm'], {hostsWithoutDisk: ['m']});
	simulation.run(4000, true);
	const lost = simulation.hosts.find(node => node !== simulation.leader() && hostOfMember(node.id) !== 'm');
	simulation.crash(lost!, 0);
	simulation.run(8000, true);
	const {voters, learners} = simulation.leader()!.state.members;
	t.notOk(voters.some(voter => hostOfMember(voter) === 'm'));
	t.same(learners.map(learner => hostOfMember(learner)), ['m'], 'it stays a learner');
});
