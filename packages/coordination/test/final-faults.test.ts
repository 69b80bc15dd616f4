import process from 'node:process';
import t from 'tap';
import {Simulation} from './simulation.js';
import {createRandom, hostOfMember, type Random} from '@bitternpaddle/coordination';

const schedules = Number(process.env.BITTERNPADDLE_SCHEDULES ?? 20);
const firstSeed = Number(process.env.BITTERNPADDLE_SEED ?? 54_000);

/** Time that a returning host needs to catch up; until then it counts as lost. */
const catchUpMs = 6000;
/** Time after the return of all hosts in which changes must be accepted again. */
const recoveryMs = 5000;
/** As the core replaces silent voters. */
const replaceAfterMs = 1500;
const changeEveryMs = 350;
const hostNames = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

type Node = Simulation['hosts'][number];

/** Disturbances of a group that overlap, in which never more disks are lost at once than the group must tolerate. */
class Disturbances {
	readonly simulation: Simulation;
	/** Times at which hosts that lost their disks were back, or their successors started; later ones are not known yet. */
	private readonly lostDisks: Array<{backAtMs: number}> = [];
	private addedHosts = 0;

	constructor(private readonly random: Random, private readonly toleratedLosses: number, hostCount: number, voterCount: number) {
		this.simulation = new Simulation(hostNames.slice(0, hostCount), {voterCount, replaceAfterMs});
		this.simulation.run(8000, true);
	}

	/** Number of disks that may be lost now. */
	spareDisks(): number {
		return this.toleratedLosses - this.lostDisks.filter(({backAtMs}) => this.simulation.nowMs < backAtMs + catchUpMs).length;
	}

	/**
	 * Runs a disturbance after which no majority may be left for some time. Hosts that were
	 * catching up begin again at its end: without a majority no group can take them in.
	 */
	private suspendCatchUp(disturb: () => void): void {
		const catchingUp = this.lostDisks.filter(({backAtMs}) => this.simulation.nowMs < backAtMs + catchUpMs);
		disturb();
		for (const lost of catchingUp) {
			lost.backAtMs = this.simulation.nowMs;
		}
	}

	/** Advances time while an operator proposes one change after the other. */
	change(durationMs: number): void {
		for (let passedMs = 0; passedMs < durationMs; passedMs += changeEveryMs) {
			this.propose();
			this.simulation.run(Math.min(changeEveryMs, durationMs - passedMs), true);
		}
	}

	propose(): void {
		const leader = this.simulation.leader();
		if (leader !== undefined) {
			this.simulation.propose(leader);
		}
	}

	pick(nodes: readonly Node[], count: number): Node[] {
		const left = [...nodes];
		return Array.from({length: Math.min(count, left.length)}, () => left.splice(this.random.between(0, left.length - 1), 1)[0]!);
	}

	loseDisk(): void {
		if (this.spareDisks() < 1) {
			return;
		}

		const [node] = this.pick(this.simulation.hosts, 1);
		const lost = {backAtMs: Number.POSITIVE_INFINITY};
		this.lostDisks.push(lost);
		this.simulation.crash(node!, this.random.between(0, 2));
		this.change(this.random.between(100, 2500));
		this.simulation.loseDisk(node!);
		lost.backAtMs = this.simulation.nowMs;
	}

	replaceHost(): void {
		if (this.spareDisks() < 1) {
			return;
		}

		const leader = this.simulation.leader();
		const [node] = leader === undefined || this.random.between(0, 1) === 0 ? this.pick(this.simulation.hosts, 1) : [leader];
		const lost = {backAtMs: Number.POSITIVE_INFINITY};
		this.lostDisks.push(lost);
		this.simulation.remove(node!);
		this.change(this.random.between(200, 2500));
		this.addedHosts++;
		this.simulation.add(`new${this.addedHosts}`);
		lost.backAtMs = this.simulation.nowMs;
	}

	/** Some hosts lose power and return with their disks. */
	private stopHosts(): void {
		const down = this.pick(this.simulation.hosts, this.random.between(1, this.toleratedLosses));
		for (const node of down) {
			this.simulation.crash(node, this.random.between(0, 2));
		}

		this.change(this.random.between(500, 4000));
		for (const node of down) {
			this.simulation.restart(node);
		}
	}

	/** All hosts lose power and return with their disks. */
	private stopAllHosts(): void {
		const nodes = [...this.simulation.hosts];
		for (const node of nodes) {
			this.simulation.crash(node, this.random.between(0, 2));
		}

		this.simulation.packets = [];
		this.simulation.run(this.random.between(10, 30) * 50, true);
		for (const node of nodes) {
			this.simulation.restart(node);
		}
	}

	/** The hosts are cut in two halves. */
	private cutInHalves(): void {
		const hosts = this.pick(this.simulation.hosts, this.simulation.hosts.length).map(({id}) => hostOfMember(id));
		const half = hosts.slice(0, Math.floor(hosts.length / 2));
		for (const a of half) {
			for (const b of hosts.slice(half.length)) {
				this.simulation.partitions.add(`${a}>${b}`);
				this.simulation.partitions.add(`${b}>${a}`);
			}
		}

		this.change(this.random.between(500, 5000));
		this.simulation.partitions.clear();
	}

	stopSome(): void {
		this.suspendCatchUp(() => {
			this.stopHosts();
		});
	}

	stopAll(): void {
		this.suspendCatchUp(() => {
			this.stopAllHosts();
		});
	}

	split(): void {
		this.suspendCatchUp(() => {
			this.cutInHalves();
		});
	}

	/** At an acknowledgement, or shortly after a change was sent, as many hosts as may be lost lose their disks and all others lose power. */
	end(): void {
		const accepted = this.simulation.committed.length;
		this.propose();
		if (this.random.between(0, 1) === 0) {
			for (let passedMs = 0; passedMs < 3000 && this.simulation.committed.length === accepted; passedMs += 50) {
				this.simulation.run(50, true);
				this.propose();
			}
		} else {
			this.simulation.run(this.random.between(1, 8) * 50, this.random.between(0, 1) === 0);
		}

		const lost = this.pick(this.simulation.hosts, Math.max(0, this.spareDisks()));
		const nodes = [...this.simulation.hosts];
		for (const node of nodes) {
			this.simulation.crash(node, this.random.between(0, 2));
		}

		this.simulation.packets = [];
		this.simulation.run(1000, true);
		for (const node of nodes) {
			if (lost.includes(node)) {
				this.simulation.loseDisk(node);
			} else {
				this.simulation.restart(node);
			}
		}
	}
}

type Group = {readonly toleratedLosses: number; readonly hostCount: number; readonly voterCount: number};

const kinds = ['loseDisk', 'replaceHost', 'stopSome', 'stopAll', 'split'] as const;

/** Runs one schedule. Returns why the group did not recover, or `null` if it did; throws if an acknowledged change was lost. */
const runSchedule = (seed: number, {toleratedLosses, hostCount, voterCount}: Group): string | null => {
	const random = createRandom(seed);
	const disturbances = new Disturbances(random, toleratedLosses, hostCount, voterCount);
	const {simulation} = disturbances;
	for (let round = 0; round < 6; round++) {
		disturbances[kinds[random.between(0, kinds.length - 1)]!]();
		disturbances.change(random.between(0, catchUpMs));
	}

	disturbances.end();
	simulation.run(recoveryMs, true);
	const leader = simulation.leader();
	if (leader === undefined) {
		return `seed ${seed}: no leader`;
	}

	const accepted = simulation.committed.length;
	simulation.propose(leader);
	simulation.run(500, true);
	return simulation.committed.length > accepted ? null : `seed ${seed}: the next change is not accepted`;
};

const collectFailures = (group: Group): string[] => {
	const failures: string[] = [];
	for (let seed = firstSeed; seed < firstSeed + schedules; seed++) {
		try {
			const failure = runSchedule(seed, group);
			if (failure !== null) {
				failures.push(failure);
			}
		} catch (error) {
			failures.push(`seed ${seed}: ${(error as Error).message}`);
		}
	}

	return failures;
};

// Guards against tolerated losses at the wrong moment, such as during a replacement, that lose a change or end all changes.
t.test('a group recovers from tolerated losses of disks while all other hosts lose power, at any moment', {timeout: 300_000}, async t => {
	for (const toleratedLosses of [1, 2, 3]) {
		for (const hostCount of [(2 * toleratedLosses) + 1, (2 * toleratedLosses) + 2]) {
			t.same(collectFailures({toleratedLosses, hostCount, voterCount: (2 * toleratedLosses) + 1}), [], `${hostCount} hosts, of which ${toleratedLosses} may be lost`);
		}
	}
});

// Guards against schedules in which any group recovers.
t.test('a group with two voters fewer does not recover from the same losses', async t => {
	const failures = collectFailures({toleratedLosses: 2, hostCount: 6, voterCount: 3});
	t.ok(failures.length > 0);
});
