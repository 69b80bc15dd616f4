import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import type {WeightsProof} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import {
	createChunkWriter, createStagedWeights, createVersionLoader, createWeightsProver, type EngineClient, type EngineState, type LoadGoal, type StagedWeights,
} from '@bitternpaddle/gateway';

const chunkBytes = 64;
const chunkOf = (chunk: number): Buffer => Buffer.alloc(chunkBytes, chunk + 1);
const digests = [0, 1, 2, 3].map(chunk => createHash('sha256').update(chunkOf(chunk)).digest('hex'));

/** A fake engine that stages and loads whatever it receives, without verification, as soon as it accepts an order. */
const createEngine = (held: number | null) => {
	const staged = new Map<number, Buffer>();
	const orders: Array<{version: number; mode: string}> = [];
	const state = {
		running: 0, queued: 0, version: held, orderCount: 0, loadedChunks: [] as Buffer[],
	};
	const hooks = {beforeAccept: async (): Promise<void> => undefined, afterAccept: (): void => undefined, refusesReload: false};
	const client: EngineClient = {
		state: async () => stateOf(),
		identity: async () => 'i-1',
		async putChunk(_, chunk, data) {
			staged.set(chunk, Buffer.from(data));
			return 'written';
		},
		getChunk: async (_, chunk) => staged.get(chunk) ?? null,
		async load({version, mode, expectedOrderCount}) {
			await hooks.beforeAccept();
			if ((expectedOrderCount ?? state.orderCount) !== state.orderCount || (version === 0 && hooks.refusesReload)) {
				return 'refused';
			}

			if (version === state.version) {
				return 'done';
			}

			orders.push({version, mode});
			state.orderCount++;
			state.version = version;
			state.loadedChunks = [0, 1, 2, 3].map(chunk => staged.get(chunk) ?? Buffer.alloc(0));
			hooks.afterAccept();
			return 'begun';
		},
	};
	const stateOf = (): EngineState => ({
		running: state.running, queued: state.queued, pace: 1, isBusy: false, orderCount: state.orderCount, startedAtMs: null,
		models: state.version === null ? [] : [{model: 'm', version: state.version}], askedAtMs: performance.now(),
	});
	const isWhole = (): boolean => state.loadedChunks.every((data, chunk) => data.equals(chunkOf(chunk)));
	return {
		staged, orders, state, hooks, client, stateOf, isWhole,
	};
};

type FakeEngine = ReturnType<typeof createEngine>;

const createTools = (engine: FakeEngine) => {
	const proofs: WeightsProof[] = [];
	const writer = createChunkWriter({engine: engine.client, logger: silentLogger});
	const weights: StagedWeights = createStagedWeights({
		engine: engine.client, writer, model: 'm', version: 2, chunkBytes, digests,
	});
	const prover = createWeightsProver({
		engine: engine.client, logger: silentLogger, onRestart: writer.forgetUnknownWrites,
		onChange(proof) {
			proofs.push(proof);
		},
	});
	const put = async (...chunks: number[]): Promise<void> => {
		for (const chunk of chunks) {
			await weights.put(chunk, chunkOf(chunk));
		}

		await writer.settled();
	};

	return {
		proofs, writer, weights, prover, put,
	};
};

const goal: LoadGoal = {
	profile: {
		slots: 16, stepsPerPass: 6, stepMs: 7, perSequenceMs: 0, contextMsPerThousand: 0, readTokensPerSecond: 1000, usualPromptTokens: 1, usualAnswerTokens: 1,
		kvCapacityTokens: 1, model: 'm', chunks: digests.length, chunkBytes, loadMs: 0, healthPath: '/healthz',
	},
	origin: {
		address: '127.0.0.1:1', zoneId: null, maxConnections: 1, linkMbps: 1,
	},
	version: 2,
	namedAgeMs: 1000,
	isConfirmed: true,
};

const createLoader = (held: number | null, isGranted = true, engine = createEngine(held)) => {
	const {proofs, weights, prover, put} = createTools(engine);
	const leaving: boolean[] = [];
	const permits: boolean[] = [];
	const loader = createVersionLoader({
		engine: engine.client, prover, logger: silentLogger, dueMs: 8000, goal: () => goal, profile: () => goal.profile, engineState: engine.stateOf, openWeights: async () => weights,
		async requestPermit(isDone) {
			permits.push(isDone);
			return isGranted;
		},
		async setLeavingService(isLeaving) {
			leaving.push(isLeaving);
		},
	});
	return {
		engine, weights, prover, proofs, loader, leaving, permits, put,
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
	const {weights, prover} = createTools(engine);
	const opened: boolean[] = [];
	let isConfirmed = false;
	const loader = createVersionLoader({
		engine: engine.client, prover, logger: silentLogger, dueMs: 8000, goal: () => ({...goal, isConfirmed}), profile: () => goal.profile,
		engineState: engine.stateOf, requestPermit: async () => true,
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

const wholeProof: WeightsProof = {
	type: 'whole', version: 2, engineId: 'i-1', startedAtMs: null,
};

/** Steps until the engine is proven, with pauses beyond the delay before an order is repeated. */
const stepUntilProven = async ({loader, prover}: ReturnType<typeof createLoader>): Promise<void> => {
	for (let step = 0; step < 10 && prover.proof().type !== 'whole'; step++) {
		await loader.step();
		await delay(320);
	}
};

// Guards against an engine that takes a spoilt chunk between the read-back and its acceptance of the order.
t.test('an engine that loaded a chunk spoilt after its check is reloaded before it is used', async t => {
	const fleet = createLoader(null);
	const {engine, proofs, put} = fleet;
	await put(0, 1, 2, 3);
	engine.hooks.beforeAccept = async () => {
		engine.staged.set(1, Buffer.alloc(chunkBytes, 99));
		engine.hooks.beforeAccept = async () => undefined;
	};

	await fleet.loader.step();
	t.notOk(engine.isWhole());
	await stepUntilProven(fleet);
	t.same(engine.orders.map(({version}) => version), [2, 0, 2]);
	t.ok(engine.isWhole());
	t.same(proofs, [{type: 'none'}, wholeProof]);
});

// Guards against an engine that keeps weights which were not shown to be whole because it refuses to be reloaded.
t.test('an engine that refuses to be reloaded stays out of service', async t => {
	const fleet = createLoader(null);
	const {engine, prover, put} = fleet;
	await put(0, 1, 2, 3);
	engine.hooks.refusesReload = true;
	engine.hooks.beforeAccept = async () => {
		engine.staged.set(1, Buffer.alloc(chunkBytes, 99));
	};

	for (let step = 0; step < 4; step++) {
		await fleet.loader.step();
	}

	t.same([engine.orders.length, prover.proof()], [1, {type: 'none'}]);
});

// Guards against a read-back that finds a chunk right because it was written again after the engine had taken it.
t.test('a chunk that is written again after the order was accepted proves nothing', async t => {
	const engine = createEngine(null);
	const {weights, writer, prover, put} = createTools(engine);
	await put(0, 1, 2, 3);
	engine.staged.set(1, Buffer.alloc(chunkBytes, 99));
	prover.observe(engine.stateOf(), 'm');
	prover.beginOrder(2, 0);
	t.equal(await engine.client.load({
		model: 'm', version: 2, mode: 'afterRunning', expectedOrderCount: 0,
	}), 'begun');
	prover.confirmOrder();
	await weights.rewrite([1]);
	await writer.settled();
	prover.observe(engine.stateOf(), 'm');
	t.equal(await prover.prove({model: 'm', healthPath: '/healthz', staged: weights}, engine.stateOf()), 'unproven');
	t.same(prover.proof(), {type: 'none'});
});

// Guards against an agent that starts beside an engine which its predecessor told to load.
t.test('an agent that starts again proves an engine by what is staged, and keeps to unknown until then', async t => {
	const engine = createEngine(null);
	for (const chunk of [0, 1, 2, 3]) {
		engine.staged.set(chunk, chunkOf(chunk));
	}

	await engine.client.load({
		model: 'm', version: 2, mode: 'afterRunning', expectedOrderCount: 0,
	});
	const {loader, prover, proofs, weights} = createLoader(null, true, engine);
	t.same(prover.proof(), {type: 'unknown'});
	await weights.readStaged();
	await loader.step();
	t.same([proofs, engine.orders.length], [[wholeProof], 1]);
});

// Guards against an agent that trusts an engine whose staged chunks it wrote itself after another agent's order.
t.test('an order that the engine accepted while chunks were written proves nothing', async t => {
	const engine = createEngine(null);
	const {weights, prover, put} = createTools(engine);
	prover.observe(engine.stateOf(), 'm');
	await put(0, 1);
	await engine.client.load({
		model: 'm', version: 2, mode: 'afterRunning', expectedOrderCount: 0,
	});
	await put(2, 3);
	prover.observe(engine.stateOf(), 'm');
	t.notOk(engine.isWhole());
	t.equal(await prover.prove({model: 'm', healthPath: null, staged: weights}, engine.stateOf()), 'unproven');
});

t.test('an engine that was started with weights is proven without an order', async t => {
	const {loader, proofs} = createLoader(1, false);
	await loader.step();
	t.same(proofs, [{...wholeProof, version: 1}]);
});

// Guards against a proof that outlives the start of the engine for which it was made.
t.test('the proof ends when the engine restarts or takes another order', async t => {
	const fleet = createLoader(null);
	const {engine, prover, put} = fleet;
	await put(0, 1, 2, 3);
	await stepUntilProven(fleet);
	t.same(prover.proof(), wholeProof);
	engine.state.orderCount++;
	prover.observe(engine.stateOf(), 'm');
	t.same(prover.proof(), {type: 'none'}, 'another order');
	engine.state.orderCount = 0;
	engine.state.version = null;
	await stepUntilProven(fleet);
	t.same(prover.proof(), wholeProof);
	t.ok(engine.isWhole());
});

// Guards against an engine that stays out of service while its staged chunks are spoilt as fast as they are replaced.
t.test('an engine whose staged chunks are spoilt again and again serves the older version', async t => {
	const fleet = createLoader(1);
	const {engine, leaving, put} = fleet;
	await put(0, 1, 2, 3);
	const {putChunk} = engine.client;
	Object.assign(engine.client, {
		putChunk: async (model: string, chunk: number) => putChunk(model, chunk, Buffer.alloc(chunkBytes, 99)),
	});
	engine.staged.set(0, Buffer.alloc(chunkBytes, 99));
	while (leaving.length < 2) {
		await fleet.loader.step();
		await delay(50);
	}

	t.same([leaving, engine.orders, fleet.prover.proof()], [[true, false], [], {...wholeProof, version: 1}]);
});
