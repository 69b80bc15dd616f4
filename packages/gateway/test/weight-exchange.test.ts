import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {haveParametersSchema} from '@bitternpaddle/protocol';
import {createHttpServer, createRpcServer, silentLogger} from '@bitternpaddle/transport';
import {
	createPacedLinks, createWeightExchange, type EngineClient, type LoadGoal, type OriginClient,
} from '@bitternpaddle/gateway';

const engine: EngineClient = {
	state: async () => ({
		running: 0, queued: 0, pace: 1, isBusy: false, models: [],
	}),
	putChunk: async () => undefined,
	getChunk: async () => null,
	load: async () => 'begun',
};

const goalOf = (version: number): LoadGoal => ({
	profile: {
		slots: 16, stepsPerPass: 6, stepMs: 7, perSequenceMs: 0, contextMsPerThousand: 0, readTokensPerSecond: 1000, usualPromptTokens: 1, usualAnswerTokens: 1,
		kvCapacityTokens: 1, model: 'm', chunks: 4, chunkBytes: 64, loadMs: 0,
	},
	origin: {
		address: '127.0.0.1:1', zoneId: null, maxConnections: 1, linkMbps: 100,
	},
	version,
	namedAgeMs: 0,
	isSure: true,
});

// A newer version is named while an older one is on its way. The origin's link is
// full of the older one's chunks, and the digests of the newer one lay behind them
// for two seconds: nothing of it could be fetched meanwhile.
t.test('chunks of the version before are given up before the digests of the next are asked for', async t => {
	const fetching: AbortSignal[] = [];
	let fetchingAtDigests: AbortSignal[] = [];
	const origin: OriginClient = {
		async digests(_, __, version) {
			if (version === 2) {
				fetchingAtDigests = fetching.filter(({aborted}) => !aborted);
			}

			return Array.from({length: 4}, () => '0'.repeat(64));
		},
		async chunk(_, {signal}) {
			fetching.push(signal);
			return new Promise((resolve, reject) => {
				signal.addEventListener('abort', () => {
					reject(new Error('given up'));
				});
			});
		},
	};
	const links = createPacedLinks({bytesPerSecond: 1_000_000, share: () => 1});
	const exchange = createWeightExchange({
		selfAddress: '127.0.0.1:2', zoneId: 'z', regionId: 'r', engine, origin, links, linkBytesPerSecond: 1_000_000, logger: silentLogger, peers: () => [],
	});
	t.teardown(() => {
		exchange.close();
		links.close();
	});
	await exchange.open(goalOf(1));
	while (fetching.length === 0) {
		await delay(5);
	}

	await exchange.open(goalOf(2));
	t.same(fetchingAtDigests, []);
});

// Everything lost power. The core has no leader yet, so which version is wanted is not
// sure; the hosts' engines still hold the chunks of the one that they served. Fetching
// the wrong version would put it over them; reading them back costs nothing and lets
// the engine serve half a second earlier.
t.test('of a version that is not surely wanted nothing is fetched, and what outlived is read', async t => {
	const data = Buffer.alloc(64, 7);
	const digest = createHash('sha256').update(data).digest('hex');
	let fetched = 0;
	const origin: OriginClient = {
		digests: async () => Array.from({length: 4}, () => digest),
		async chunk() {
			fetched++;
			return data;
		},
	};
	const links = createPacedLinks({bytesPerSecond: 1_000_000, share: () => 1});
	const exchange = createWeightExchange({
		selfAddress: '127.0.0.1:2', zoneId: 'z', regionId: 'r', origin, links, linkBytesPerSecond: 1_000_000, logger: silentLogger, peers: () => [],
		engine: {...engine, getChunk: async (_, chunk) => chunk < 3 ? data : null},
	});
	t.teardown(() => {
		exchange.close();
		links.close();
	});
	const opened = await exchange.open({...goalOf(2), isSure: false});
	t.equal(opened?.heldChunks().length, 3);
	await delay(200);
	t.equal(fetched, 0);
	await exchange.open(goalOf(2));
	while (!opened!.isComplete()) {
		await delay(10);
	}

	t.equal(fetched, 1, 'once it is sure, only what is missing is fetched');
	t.equal(exchange.missingChunks(), 0);
});

/** Keeps this process from doing anything else. */
const standStill = (forMs: number): void => {
	const untilMs = performance.now() + forMs;
	while (performance.now() < untilMs) {
		// Nothing else runs meanwhile.
	}
};

// The process stands still while it exchanges chunks; the others have given it up
// meanwhile. Awake, it greets them anew, and its own slow fetches are no narrow link.
t.test('a process that stood still greets its neighbours again', async t => {
	const greetings: boolean[] = [];
	const rpc = createRpcServer();
	rpc.method('agent.have', haveParametersSchema, ({isGreeting}) => {
		greetings.push(isGreeting);
	});
	const neighbour = await createHttpServer({listen: '127.0.0.1:0', handler: async (request, response) => rpc.serve(request, response)});
	const links = createPacedLinks({bytesPerSecond: 1_000_000, share: () => 1});
	const exchange = createWeightExchange({
		selfAddress: '127.0.0.1:2', zoneId: 'z', regionId: 'r', engine, links, linkBytesPerSecond: 1_000_000, logger: silentLogger,
		peers: () => [{
			hostId: 'n', address: neighbour.address, zoneId: 'z', regionId: 'r',
		}],
		origin: {
			digests: async () => Array.from({length: 4}, () => '0'.repeat(64)),
			chunk: async () => delay(60_000, Buffer.alloc(64), {ref: false}),
		},
	});
	t.teardown(() => {
		exchange.close();
		links.close();
		neighbour.destroy();
	});
	const greeted = async (count: number): Promise<void> => {
		while (greetings.filter(Boolean).length < count) {
			await delay(10);
		}
	};

	await exchange.open(goalOf(2));
	await greeted(1);
	standStill(700);
	await greeted(2);
	t.equal(greetings.filter(Boolean).length, 2);
	t.notOk(exchange.isStrained());
});
