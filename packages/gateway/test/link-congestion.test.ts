import {type Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import type {TransferPeer} from '@bitternpaddle/daemon/transfer';
import {
	blockEventLoop, chunkOf, createWeightAgent, digestsOf, goalOf, untilComplete, type WeightAgent, type WeightAgentOptions,
} from './support/weight-agents.js';
import type {OriginClient} from '@bitternpaddle/gateway';

const version = 2;
const megabit = 1_000_000 / 8;

const createOrigin = (chunks: number, chunkBytes: number): OriginClient => ({
	digests: async () => digestsOf(version, chunks, chunkBytes),
	async chunk(_, {chunk}) {
		await delay(2);
		return chunkOf(version, chunk, chunkBytes);
	},
});

const createAgents = async (t: Test, agents: ReadonlyArray<Omit<WeightAgentOptions, 'peers'>>): Promise<WeightAgent[]> => {
	const peers: TransferPeer[] = [];
	const created: WeightAgent[] = [];
	for (const options of agents) {
		const agent = await createWeightAgent({...options, peers});
		peers.push(agent.peer);
		created.push(agent);
	}

	t.teardown(() => {
		for (const agent of created) {
			agent.close();
		}
	});
	return created;
};

const congestionsOf = (agents: readonly WeightAgent[]) => agents.flatMap(({events}) => events.filter(({id}) => id === 'BP4038'));

// The bytes of a small chunk take microseconds on a fast link, and every fetch longer
// than nine times that counted as slow: hosts backed off again and again, and versions
// arrived tens of seconds late.
for (const {chunkBytes, linkMbps} of [{chunkBytes: 2048, linkMbps: 1000}, {chunkBytes: 49_152, linkMbps: 10_000}]) {
	t.test(`chunks of ${chunkBytes} bytes are exchanged on a link of ${linkMbps} Mbit/s without a backoff`, async t => {
		const origin = createOrigin(48, chunkBytes);
		const linkBytesPerSecond = linkMbps * megabit;
		const agents = await createAgents(t, [1, 2, 3, 4].map(() => ({origin, linkBytesPerSecond})));
		const startedAtMs = performance.now();
		await Promise.all(agents.map(async ({exchange}) => exchange.open(goalOf({version, chunks: 48, chunkBytes}))));
		await Promise.all(agents.map(async agent => untilComplete(agent)));
		t.comment(`complete after ${Math.round(performance.now() - startedAtMs)} ms`);
		t.equal(congestionsOf(agents).length, 0);
		t.notOk(agents.some(({exchange}) => exchange.isStrained()));
	});
}

// A fetch takes several turns of the event loop. On a busy processor each of them is late,
// and the host backed off although its link was free.
t.test('fetches on a busy event loop do not count as a congested link', async t => {
	const origin = createOrigin(16, 2048);
	const agents = await createAgents(t, [1, 2, 3, 4].map(() => ({origin, linkBytesPerSecond: 1000 * megabit})));
	const timer = setInterval(() => {
		blockEventLoop(80);
	}, 10);
	t.teardown(() => {
		clearInterval(timer);
	});
	await Promise.all(agents.map(async ({exchange}) => exchange.open(goalOf({version, chunks: 16, chunkBytes: 2048}))));
	await Promise.all(agents.map(async agent => untilComplete(agent)));
	t.equal(congestionsOf(agents).length, 0);
});

// Guards against a bound on slow fetches that is so high that a congested link is missed.
for (const {chunkBytes, linkMbps, realMbps} of [
	{chunkBytes: 2048, linkMbps: 1000, realMbps: 0.1},
	{chunkBytes: 49_152, linkMbps: 20, realMbps: 2},
]) {
	t.test(`a link of ${linkMbps} Mbit/s that carries chunks of ${chunkBytes} bytes at ${realMbps} Mbit/s is congested`, async t => {
		const origin = createOrigin(6, chunkBytes);
		const linkBytesPerSecond = linkMbps * megabit;
		const staged = new Map<number, Buffer>(Array.from({length: 6}, (_, chunk) => [chunk, chunkOf(version, chunk, chunkBytes)]));
		const agents = await createAgents(t, [
			{origin, linkBytesPerSecond, staged},
			{origin, linkBytesPerSecond, staged},
			{origin, linkBytesPerSecond, realBytesPerSecond: realMbps * megabit},
		]);
		for (const {exchange} of agents) {
			await exchange.open(goalOf({version, chunks: 6, chunkBytes}));
		}

		const fetcher = agents.at(-1)!;
		while (!fetcher.exchange.isBackingOff()) {
			await delay(5);
		}

		t.equal(congestionsOf([fetcher]).length, 1);
		t.ok(fetcher.exchange.isStrained());
	});
}
