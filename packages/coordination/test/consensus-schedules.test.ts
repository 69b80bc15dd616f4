import process from 'node:process';
import fc from 'fast-check';
import t from 'tap';
import {Simulation} from './simulation.js';
import {createRandom} from '@bitternpaddle/coordination';

const hostIds = ['a', 'b', 'c', 'd', 'e'];
const seed = Number(process.env.BITTERNPADDLE_SEED ?? 20_261_202);
const schedules = Number(process.env.BITTERNPADDLE_SCHEDULES ?? 150);

type FaultStep = (simulation: Simulation, pick: number, amount: number) => void;

const hostAt = (simulation: Simulation, pick: number) => simulation.hosts[pick % simulation.hosts.length]!;

const faultSteps: Record<string, FaultStep> = {
	runWithoutFaults(simulation, _pick, amount) {
		simulation.run(50 + (100 * (amount % 20)), true);
	},
	runWithoutDelivery(simulation, _pick, amount) {
		simulation.run(50 + (100 * (amount % 8)), false);
	},
	/** Fine-grained reordering: some hosts sync, some messages are delivered, and occasionally a host crashes and restarts immediately. */
	reorder(simulation, pick, amount) {
		const random = createRandom((1000 * pick) + amount + 1);
		for (let round = 0; round < 20; round++) {
			simulation.run(random.between(0, 2) * 50, false);
			for (const node of simulation.hosts) {
				if (random.between(0, 2) > 0) {
					simulation.sync(node);
				}
			}

			const packets = simulation.packets.splice(0);
			for (const packet of packets) {
				const outcome = random.between(0, 9);
				if (outcome < 7) {
					simulation.deliver(packet);
				}

				if (outcome === 6 || outcome === 7) {
					simulation.packets.push(packet);
				}
			}

			const node = hostAt(simulation, random.between(0, 1000));
			if (random.between(0, 7) === 0) {
				simulation.crash(node, random.between(0, 2));
				simulation.restart(node);
			}
		}
	},
	sync(simulation, pick) {
		simulation.sync(hostAt(simulation, pick));
	},
	deliver(simulation, pick, amount) {
		for (let count = 0; count <= amount % 6 && simulation.packets.length > 0; count++) {
			const [packet] = simulation.packets.splice((pick + count) % simulation.packets.length, 1);
			simulation.deliver(packet!);
		}
	},
	duplicate(simulation, pick) {
		const packet = simulation.packets[pick % Math.max(1, simulation.packets.length)];
		if (packet !== undefined) {
			simulation.packets.push(packet);
		}
	},
	lose(simulation, pick, amount) {
		simulation.packets.splice(pick % Math.max(1, simulation.packets.length), 1 + (amount % 10));
	},
	propose(simulation, pick, amount) {
		for (let count = 0; count <= amount % 4; count++) {
			simulation.propose(simulation.hosts.find(({state}) => state.role === 'leader') ?? hostAt(simulation, pick));
		}
	},
	proposeAnywhere(simulation, pick) {
		simulation.propose(hostAt(simulation, pick));
	},
	crash(simulation, pick, amount) {
		simulation.crash(hostAt(simulation, pick), amount % 4);
	},
	crashLeader(simulation, _pick, amount) {
		const leader = simulation.leader();
		if (leader !== undefined) {
			simulation.crash(leader, amount % 4);
		}
	},
	/** The messages of the transfer are delayed, duplicated or lost like all others. */
	transferLeadership(simulation, pick) {
		simulation.dispatch(simulation.leader() ?? hostAt(simulation, pick), {type: 'transferLeadership'});
	},
	restart(simulation, pick) {
		simulation.restart(hostAt(simulation, pick));
	},
	restartAll(simulation) {
		for (const node of simulation.hosts) {
			simulation.restart(node);
		}
	},
	/** At most one disk at a time: losing a second one while a voter is being replaced loses the quorum, which cannot be recovered. */
	loseDisk(simulation, pick) {
		const node = hostAt(simulation, pick);
		const leader = simulation.leader();
		const isNonVoter = !simulation.hosts.some(({state}) => state.members.voters.includes(node.id));
		const voters = leader?.state.members.voters ?? [];
		const isFullyReplicated = voters.length === 3 && leader!.state.durableIndex === leader!.state.commitIndex
			&& voters.every(id => simulation.nodes.get(id)?.isUp && simulation.nodes.get(id)!.disk.entries.at(-1)?.index === leader!.state.entries.at(-1)?.index);
		if (isNonVoter || isFullyReplicated) {
			simulation.loseDisk(node);
		}
	},
	suspend(simulation, pick) {
		hostAt(simulation, pick).isSuspended = true;
	},
	resume(simulation) {
		for (const node of simulation.hosts) {
			node.isSuspended = false;
		}
	},
	partitionHost(simulation, pick) {
		const partitioned = hostIds[pick % hostIds.length]!;
		for (const other of hostIds) {
			simulation.partitions.add(`${partitioned}>${other}`).add(`${other}>${partitioned}`);
		}
	},
	partitionHalf(simulation, pick) {
		for (const from of hostIds) {
			for (const to of hostIds) {
				if ((hostIds.indexOf(from) + pick) % 2 !== (hostIds.indexOf(to) + pick) % 2) {
					simulation.partitions.add(`${from}>${to}`);
				}
			}
		}
	},
	partitionOneWay(simulation, pick, amount) {
		simulation.partitions.add(`${hostIds[pick % hostIds.length]}>${hostIds[amount % hostIds.length]}`);
	},
	heal(simulation) {
		simulation.partitions.clear();
	},
	compact(simulation, pick) {
		simulation.compact(hostAt(simulation, pick));
	},
};

const weights: Record<string, number> = {
	runWithoutFaults: 6, reorder: 10, runWithoutDelivery: 3, sync: 4, deliver: 8, propose: 8, heal: 3, resume: 2, restart: 3, restartAll: 2, loseDisk: 1, transferLeadership: 3,
};
const names = Object.keys(faultSteps).flatMap(name => Array.from({length: weights[name] ?? 1}, () => name));
const schedule = fc.array(fc.tuple(fc.constantFrom(...names), fc.nat(1000), fc.nat(1000)), {minLength: 60, maxLength: 160});

const total = {accepted: 0, terms: 0, steps: 0};

const runSchedule = (steps: ReadonlyArray<readonly [string, number, number]>): void => {
	const simulation = new Simulation(hostIds);
	simulation.run(2000, true);
	for (const [name, pick, amount] of steps) {
		faultSteps[name]!(simulation, pick, amount);
	}

	// After all faults end, a change must be accepted again and reach every host.
	faultSteps.heal!(simulation, 0, 0);
	faultSteps.resume!(simulation, 0, 0);
	faultSteps.restartAll!(simulation, 0, 0);
	simulation.run(8000, true);
	const leader = simulation.leader();
	if (leader === undefined) {
		throw new Error('no leader after all faults ended');
	}

	const before = simulation.committed.length;
	simulation.propose(leader);
	simulation.run(8000, true);
	const behind = simulation.hosts.filter(node => node.applied.length < before + 1).map(({id}) => id);
	if (behind.length > 0) {
		throw new Error(`${behind.join(', ')} did not receive the change after all faults ended`);
	}

	total.accepted += simulation.accepted;
	total.terms += simulation.leadersByTerm.size;
	total.steps += steps.length;
};

// Control hosts crash and lose unsynced writes, restart with different clocks,
// are suspended, lose their disks and are replaced, are partitioned in one or both
// directions; leaders transfer the leadership; messages are lost, duplicated and
// reordered. In any order: each term has at most one leader, no committed entry is
// lost or changed, no two hosts hold the lease at once, a host that serves its
// copy holds all entries committed an election timeout ago; and after the faults
// end, changes are accepted and reach all hosts again.
t.test(`random schedules, seed ${seed}, ${schedules} of them`, {timeout: 600_000}, async t => {
	fc.assert(fc.property(schedule, runSchedule), {seed, numRuns: schedules, endOnFailure: Number(process.env.BITTERNPADDLE_SCHEDULES ?? 0) > 0});
	t.comment(`seed ${seed}: ${total.steps} steps, ${total.terms} terms with a leader, ${total.accepted} entries committed`);
	t.ok(total.accepted > schedules * 5, 'the schedules commit entries');
	t.ok(total.terms > schedules * 2, 'the schedules change leaders');
});
