import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {silentLogger} from '@bitternpaddle/transport';
import {
	createStagedWeights, createVersionLoader, type EngineClient, type EngineState, type LoadGoal, type StagedWeights,
} from '@bitternpaddle/gateway';

const chunkBytes = 64;
const chunkOf = (chunk: number): Buffer => Buffer.alloc(chunkBytes, chunk + 1);
const digests = [0, 1, 2, 3].map(chunk => createHash('sha256').update(chunkOf(chunk)).digest('hex'));

/** A fake engine that stages every chunk it receives and loads immediately. */
const createEngine = (held: number | null) => {
	const staged = new Map<number, Buffer>();
	const orders: Array<{version: number; mode: string}> = [];
	const state = {running: 0, queued: 0, version: held};
	const client: EngineClient = {
		state: async () => stateOf(),
		async putChunk(_, chunk, data) {
			staged.set(chunk, Buffer.from(data));
		},
		getChunk: async (_, chunk) => staged.get(chunk) ?? null,
		async load(_, version, mode) {
			orders.push({version, mode});
			state.version = version;
			return 'begun';
		},
	};
	const stateOf = (): EngineState => ({
		running: state.running, queued: state.queued, pace: 1, isBusy: false, orderCount: 0, models: state.version === null ? [] : [{model: 'm', version: state.version}],
	});
	return {
		staged, orders, state, client, stateOf,
	};
};

const goal: LoadGoal = {
	profile: {
		slots: 16, stepsPerPass: 6, stepMs: 7, perSequenceMs: 0, contextMsPerThousand: 0, readTokensPerSecond: 1000, usualPromptTokens: 1, usualAnswerTokens: 1,
		kvCapacityTokens: 1, model: 'm', chunks: digests.length, chunkBytes, loadMs: 0,
	},
	origin: {
		address: '127.0.0.1:1', zoneId: null, maxConnections: 1, linkMbps: 1,
	},
	version: 2,
	namedAgeMs: 1000,
	isConfirmed: true,
};

const createLoader = (held: number | null, isGranted = true) => {
	const engine = createEngine(held);
	const weights: StagedWeights = createStagedWeights({
		engine: engine.client, model: 'm', version: 2, chunkBytes, digests, logger: silentLogger,
	});
	const leaving: boolean[] = [];
	const permits: boolean[] = [];
	const loader = createVersionLoader({
		engine: engine.client, logger: silentLogger, dueMs: 8000, goal: () => goal, engineState: engine.stateOf, openWeights: async () => weights,
		async requestPermit(isDone) {
			permits.push(isDone);
			return isGranted;
		},
		async setLeavingService(isLeaving) {
			leaving.push(isLeaving);
		},
	});
	const put = async (...chunks: number[]): Promise<void> => {
		for (const chunk of chunks) {
			await weights.put(chunk, chunkOf(chunk));
		}
	};

	return {
		engine, weights, loader, leaving, permits, put,
	};
};

// A staged chunk becomes corrupted after it was verified on arrival. The engine loads
// staged chunks without verification, so callers would get answers from mixed weights.
t.test('a corrupted staged chunk is replaced before the load order', async t => {
	const {engine, loader, put} = createLoader(null);
	await put(0, 1, 2, 3);
	engine.staged.set(2, Buffer.alloc(chunkBytes, 99));
	await loader.step();
	t.same(engine.orders, [{version: 2, mode: 'afterRunning'}]);
	t.same([...engine.staged].toSorted(([a], [b]) => a - b).map(([, data]) => data), [0, 1, 2, 3].map(chunk => chunkOf(chunk)));
});

t.test('no load order is sent while a chunk is missing or invalid', async t => {
	const {engine, weights, loader, put} = createLoader(null);
	await put(0, 1, 2);
	t.notOk(await weights.put(3, chunkOf(7)), 'bytes that do not match the digest are rejected');
	await loader.step();
	t.same(engine.orders, []);
});

// An engine serves an older version. It leaves service before its last chunks
// arrive, finishes its running requests, and receives the load order only then.
t.test('an engine leaves service, finishes running requests and loads', async t => {
	const {engine, loader, leaving, permits, put} = createLoader(1);
	await put(0, 1, 2);
	engine.state.running = 9;
	await loader.step();
	t.same([leaving, permits], [[true], [false]], 'leaves service with three of four chunks');
	await put(3);
	await loader.step();
	t.same(engine.orders, [], 'nine requests are still running');
	engine.state.running = 3;
	await loader.step();
	t.same(engine.orders, [{version: 2, mode: 'cutRunning'}], 'three stragglers continue on other endpoints');
	await delay(1);
	await loader.step();
	t.same([leaving, permits], [[true, false], [false, true]], 'returns to service and returns the permit');
});

t.test('without a permit an engine stays in service', async t => {
	const {engine, loader, leaving, put} = createLoader(1, false);
	await put(0, 1, 2, 3);
	await loader.step();
	t.same([leaving, engine.orders], [[], []]);
});

// After a power loss of all hosts, the wanted version is not confirmed yet. The engine
// still has all chunks of the version that a core host reports; loading it now starts
// service half a second before confirmation. Once confirmed, the version is opened
// again to be fetched.
t.test('a completely staged version is loaded before it is confirmed', async t => {
	const engine = createEngine(null);
	const weights = createStagedWeights({
		engine: engine.client, model: 'm', version: 2, chunkBytes, digests, logger: silentLogger,
	});
	const opened: boolean[] = [];
	let isConfirmed = false;
	const loader = createVersionLoader({
		engine: engine.client, logger: silentLogger, dueMs: 8000, goal: () => ({...goal, isConfirmed}), engineState: engine.stateOf, requestPermit: async () => true,
		async openWeights(wanted) {
			opened.push(wanted.isConfirmed);
			return weights;
		},
		setLeavingService: async () => undefined,
	});
	await loader.step();
	t.same(engine.orders, [], 'no load order before any chunk is staged');
	for (const chunk of [0, 1, 2, 3]) {
		await weights.put(chunk, chunkOf(chunk));
	}

	await loader.step();
	t.same(engine.orders, [{version: 2, mode: 'afterRunning'}]);
	isConfirmed = true;
	await loader.step();
	await loader.step();
	t.same(opened, [false, true]);
});
