import {Buffer} from 'node:buffer';
import {
	createPriorityDemand, createRandom, recordDemand, recordRefusedDemand, totalDemand, type PriorityDemand,
} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createDemandExchange, decodeDemandMessage, type DemandExchange} from '@bitternpaddle/gateway';

const profile = {
	slots: 12, stepsPerPass: 6, stepMs: 8.9, perSequenceMs: 0.04, contextMsPerThousand: 0.02, readTokensPerSecond: 19_100, usualPromptTokens: 973, usualAnswerTokens: 106,
	kvCapacityTokens: 685_000, model: 'm', chunks: 48, chunkBytes: 49_152, loadMs: 300,
};

type Entry = {readonly demand: PriorityDemand; readonly exchange: DemandExchange};

const createFleet = () => {
	let nowMs = 0;
	const entries = new Map<string, Entry>();
	const lost = new Set<string>();
	const bytes: number[] = [];
	const add = (address: string): Entry => {
		const demand = createPriorityDemand();
		const exchange = createDemandExchange({
			selfAddress: address, peers: () => [...entries.keys()].filter(other => other !== address), demands: () => new Map([['s', demand]]),
			logger: silentLogger, random: createRandom(1), nowMs: () => nowMs,
			send(data, addresses) {
				bytes.push(data.length);
				for (const to of addresses) {
					if (!lost.has(`${address}>${to}`)) {
						entries.get(to)?.exchange.receive(Buffer.from(data));
					}
				}
			},
		});
		const entry = {demand, exchange};
		entries.set(address, entry);
		return entry;
	};

	return {
		add, entries, lost, bytes,
		advance(ms: number) {
			for (let passedMs = 0; passedMs < ms; passedMs += 400) {
				nowMs += 400;
				for (const {exchange} of entries.values()) {
					exchange.tick();
				}
			}
		},
		refuse({demand}: Entry, priority: number, count: number) {
			const occurrence = {
				source: {
					priority, teamName: 'a', routeName: 'r', promptTokens: 973,
				}, profile, nowMs,
			};
			for (let index = 0; index < count; index++) {
				recordDemand(demand, occurrence, 100);
				recordRefusedDemand(demand, occurrence);
			}
		},
		refused: ({demand}: Entry, priority: number): number => totalDemand(demand, nowMs).figuresOf(`p${priority}`).refused,
	};
};

t.test('an entry knows what others refuse, at the next exchange', async t => {
	const fleet = createFleet();
	const [first, second] = [fleet.add('a'), fleet.add('b')];
	fleet.refuse(first, 0, 20);
	t.equal(fleet.refused(second, 0), 0);
	fleet.advance(400);
	t.ok(fleet.refused(second, 0) > 5);
	t.ok(totalDemand(second.demand, 400).figuresOf('all').arrived > 5);
});

// Guards against an entry that starts during a burst and admits the least urgent kind
// until the next exchange.
t.test('an entry that starts gets the demand at once', async t => {
	const fleet = createFleet();
	fleet.refuse(fleet.add('a'), 0, 20);
	const started = fleet.add('b');
	started.exchange.sync();
	t.ok(fleet.refused(started, 0) > 5);
});

t.test('the demand of an entry that is gone expires within a second', async t => {
	const fleet = createFleet();
	const gone = fleet.add('a');
	const other = fleet.add('b');
	fleet.refuse(gone, 0, 20);
	fleet.advance(400);
	fleet.entries.delete('a');
	fleet.advance(1200);
	t.equal(fleet.refused(other, 0), 0);
	t.equal(other.demand.received.size, 0);
});

t.test('datagrams lost in one direction leave the other direction in force', async t => {
	const fleet = createFleet();
	const [first, second] = [fleet.add('a'), fleet.add('b')];
	fleet.lost.add('a>b');
	fleet.refuse(first, 0, 20);
	fleet.refuse(second, 0, 20);
	fleet.advance(400);
	t.ok(fleet.refused(first, 0) > 1.5 * fleet.refused(second, 0));
	t.equal(second.demand.received.size, 0);
});

t.test('a message stays small, whatever the number of teams', async t => {
	const fleet = createFleet();
	const entry = fleet.add('10.1.0.15:7661');
	fleet.add('10.1.0.16:7661');
	for (const priority of [0, 1, 2]) {
		fleet.refuse(entry, priority, 50);
	}

	fleet.advance(400);
	t.ok(fleet.bytes[0]! < 160, `${fleet.bytes[0]} bytes for three priorities with a team each`);
	for (let index = 0; index < 100; index++) {
		recordDemand(entry.demand, {
			source: {
				priority: 0, teamName: `team-${index}`, routeName: 'r', promptTokens: 973,
			}, profile, nowMs: 400,
		}, 100);
	}

	fleet.bytes.length = 0;
	fleet.advance(400);
	t.ok(fleet.bytes[0]! < 1000, `${fleet.bytes[0]} bytes for a hundred teams`);
});

t.test('datagrams of other kinds are left to others', async t => {
	t.equal(decodeDemandMessage(Buffer.from([1, 2, 3])), null);
	t.notOk(createFleet().add('a').exchange.receive(Buffer.from('x')));
});
