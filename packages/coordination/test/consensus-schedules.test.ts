import process from 'node:process';
import fc from 'fast-check';
import t from 'tap';
import {Simulation} from './simulation.js';
import {createRandom} from '@bitternpaddle/coordination';

const hostIds = ['a', 'b', 'c', 'd', 'e'];
const seed = Number(process.env.BITTERNPADDLE_SEED ?? 20_261_202);
const schedules = Number(process.env.BITTERNPADDLE_SCHEDULES ?? 150);

type Act = (simulation: Simulation, pick: number, amount: number) => void;

const hostAt = (simulation: Simulation, pick: number) => simulation.hosts[pick % simulation.hosts.length]!;

const acts: Record<string, Act> = {
	quiet(simulation, _pick, amount) {
		simulation.run(50 + (100 * (amount % 20)), true);
	},
	pass(simulation, _pick, amount) {
		simulation.run(50 + (100 * (amount % 8)), false);
	},
	/** Fine-grained disorder: some hosts sync, some messages arrive, one in a while crashes and is back at once. */
	stir(simulation, pick, amount) {
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
				const luck = random.between(0, 9);
				if (luck < 7) {
					simulation.deliver(packet);
				}

				if (luck === 6 || luck === 7) {
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
	/** Its messages come late, twice or never, like all others. */
	handOver(simulation, pick) {
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
	/** At most one at a time: a second while a voter is being replaced is a lost quorum, which nothing can mend. */
	loseDisk(simulation, pick) {
		const node = hostAt(simulation, pick);
		const leader = simulation.leader();
		const isSpare = !simulation.hosts.some(({state}) => state.members.voters.includes(node.id));
		const voters = leader?.state.members.voters ?? [];
		const isWhole = voters.length === 3 && leader!.state.durableIndex === leader!.state.commitIndex
			&& voters.every(id => simulation.nodes.get(id)?.isUp && simulation.nodes.get(id)!.disk.entries.at(-1)?.index === leader!.state.entries.at(-1)?.index);
		if (isSpare || isWhole) {
			simulation.loseDisk(node);
		}
	},
	freeze(simulation, pick) {
		hostAt(simulation, pick).isFrozen = true;
	},
	wake(simulation) {
		for (const node of simulation.hosts) {
			node.isFrozen = false;
		}
	},
	cutHost(simulation, pick) {
		const cut = hostIds[pick % hostIds.length]!;
		for (const other of hostIds) {
			simulation.cuts.add(`${cut}>${other}`).add(`${other}>${cut}`);
		}
	},
	cutHalf(simulation, pick) {
		for (const from of hostIds) {
			for (const to of hostIds) {
				if ((hostIds.indexOf(from) + pick) % 2 !== (hostIds.indexOf(to) + pick) % 2) {
					simulation.cuts.add(`${from}>${to}`);
				}
			}
		}
	},
	cutOneWay(simulation, pick, amount) {
		simulation.cuts.add(`${hostIds[pick % hostIds.length]}>${hostIds[amount % hostIds.length]}`);
	},
	heal(simulation) {
		simulation.cuts.clear();
	},
	compact(simulation, pick) {
		simulation.compact(hostAt(simulation, pick));
	},
};

const weights: Record<string, number> = {
	quiet: 6, stir: 10, pass: 3, sync: 4, deliver: 8, propose: 8, heal: 3, wake: 2, restart: 3, restartAll: 2, loseDisk: 1, handOver: 3,
};
const names = Object.keys(acts).flatMap(name => Array.from({length: weights[name] ?? 1}, () => name));
const schedule = fc.array(fc.tuple(fc.constantFrom(...names), fc.nat(1000), fc.nat(1000)), {minLength: 60, maxLength: 160});

const total = {accepted: 0, terms: 0, steps: 0};

const play = (steps: ReadonlyArray<readonly [string, number, number]>): void => {
	const simulation = new Simulation(hostIds);
	simulation.run(2000, true);
	for (const [name, pick, amount] of steps) {
		acts[name]!(simulation, pick, amount);
	}

	// When all faults end, a change is accepted again and reaches every host.
	acts.heal!(simulation, 0, 0);
	acts.wake!(simulation, 0, 0);
	acts.restartAll!(simulation, 0, 0);
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
		throw new Error(`${behind.join(', ')} did not get the change after all faults ended`);
	}

	total.accepted += simulation.accepted;
	total.terms += simulation.leadersByTerm.size;
	total.steps += steps.length;
};

// Control hosts crash with the loss of unsynced writes, restart with other
// clocks, freeze, lose their disks and are replaced, are cut off one way or
// both; leaders hand over; messages are lost, doubled and overtaken. Whatever the order: one
// leader in a term, nothing committed is lost or changed, two never hold the
// lease at once, who serves its copy holds what was committed an election
// timeout ago; and when the faults end, changes are accepted everywhere again.
t.test(`random schedules, seed ${seed}, ${schedules} of them`, {timeout: 600_000}, async t => {
	fc.assert(fc.property(schedule, play), {seed, numRuns: schedules, endOnFailure: Number(process.env.BITTERNPADDLE_SCHEDULES ?? 0) > 0});
	t.comment(`seed ${seed}: ${total.steps} steps, ${total.terms} terms with a leader, ${total.accepted} entries committed`);
	t.ok(total.accepted > schedules * 5, 'the schedules commit entries');
	t.ok(total.terms > schedules * 2, 'the schedules change leaders');
});
