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
	const writer = createChunkWriter({engine: engine.client, logger: silentLogger, lostWriteMs: 300});
	const weights: StagedWeights = createStagedWeights({
		engine: engine.client, writer, model: 'm', version: 2, chunkBytes, digests,
	});
	const prover = createWeightsProver({
		engine: engine.client, logger: silentLogger, onRestart: writer.forgetLostWrites, onResponsive: writer.recordResponsive,
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

/** An order for version 2 that the engine accepts when the returned function is called, long after it was sent. */
const lateOrder = (engine: FakeEngine) => async () => engine.client.load({
	model: 'm', version: 2, mode: 'afterRunning', expectedOrderCount: 0,
});

const spoilt = Buffer.alloc(chunkBytes, 99);

// Guards against a proof by chunks that a write repaired after the load while its answer was still awaited:
// the time of a write that is in progress is that of its sending, which is before the load.
t.test('a write whose answer is still awaited leaves open what the engine took', async t => {
	const engine = createEngine(null);
	const {weights, prover, put} = createTools(engine);
	await put(0, 2, 3);
	const accept = lateOrder(engine);
	const carriedOut: Array<() => void> = [];
	const answered: Array<() => void> = [];
	engine.client.putChunk = async (_, chunk, data) => {
		await new Promise<void>(resolve => {
			carriedOut.push(resolve);
		});
		engine.staged.set(chunk, Buffer.from(data));
		await new Promise<void>(resolve => {
			answered.push(resolve);
		});
		return 'written';
	};

	await weights.put(1, chunkOf(1));
	await delay(5);
	prover.observe(engine.stateOf(), 'm');
	await delay(5);
	t.equal(await accept(), 'begun');
	t.notOk(engine.isWhole(), 'chunk 1 was not staged yet');
	carriedOut[0]!();
	await delay(5);
	prover.observe(engine.stateOf(), 'm');
	t.not(await prover.prove({model: 'm', healthPath: '/healthz', staged: weights}, engine.stateOf()), 'whole');
	t.same(prover.proof(), {type: 'none'});
	answered[0]!();
});

// Guards against a proof of the weights that an engine still names while it loads others: the staged chunks
// that are read are those of the order in progress, not those of the version that it names.
t.test('what an engine names while an order is in progress is not proven by what is staged', async t => {
	const engine = createEngine(null);
	const {weights, writer, prover, put} = createTools(engine);
	await put(0, 1, 2, 3);
	engine.staged.set(1, spoilt);
	prover.observe(engine.stateOf(), 'm');
	prover.beginOrder(2, 0);
	await engine.client.load({
		model: 'm', version: 2, mode: 'afterRunning', expectedOrderCount: 0,
	});
	prover.confirmOrder();
	await weights.rewrite([1]);
	await writer.settled();
	await delay(5);
	prover.observe(engine.stateOf(), 'm');
	t.equal(await prover.prove({model: 'm', healthPath: '/healthz', staged: weights}, engine.stateOf()), 'unproven');
	t.notOk(engine.isWhole());
	prover.beginOrder(0, 1);
	prover.confirmOrder();
	// The order has begun, and the engine names version 2 until the load ends.
	engine.state.orderCount = 2;
	const loading = (): EngineState => ({...engine.stateOf(), isBusy: true});
	engine.client.state = async () => loading();
	prover.observe(loading(), 'm');
	t.not(await prover.prove({model: 'm', healthPath: '/healthz', staged: weights}, loading()), 'whole');
	t.notMatch(prover.proof(), {type: 'whole'});
});

// Guards against a successor that proves what the writes of its predecessor repaired: an order was thought
// lost, the predecessor staged a chunk again behind it, and ended before it knew that the order was accepted.
t.test('a chunk that the predecessor of an agent staged behind an order proves nothing', async t => {
	const first = createLoader(null);
	const {engine} = first;
	await first.put(0, 1, 2, 3);
	const {load} = engine.client;
	const accept = lateOrder(engine);
	engine.client.load = async () => 'unknown';
	await first.loader.step();
	engine.staged.set(1, spoilt);
	const {putChunk} = engine.client;
	engine.client.putChunk = async (model, chunk, data) => {
		await load({
			model: 'm', version: 2, mode: 'afterRunning', expectedOrderCount: 0,
		});
		return putChunk(model, chunk, data);
	};

	await delay(320);
	await first.loader.step();
	engine.client.load = load;
	engine.client.putChunk = putChunk;
	// Has no effect if it was accepted before.
	await accept();
	const second = createLoader(null, false, engine);
	await second.weights.readStaged();
	await second.loader.step();
	t.ok(engine.isWhole() || second.prover.proof().type !== 'whole', 'no proof for weights that are not whole');
});

// Guards against an engine that stays out of service until it restarts or a newer version is named, because one of the
// writes of its agent was answered too late.
t.test('an engine serves in the end although a write was never answered', {timeout: 60_000}, async t => {
	const fleet = createLoader(null);
	const {engine} = fleet;
	const {putChunk} = engine.client;
	engine.client.putChunk = async (model, chunk, data) => {
		await putChunk(model, chunk, data);
		return chunk === 3 ? 'unknown' : 'written';
	};

	await fleet.put(0, 1, 2, 3);
	engine.client.putChunk = putChunk;
	await stepUntilProven(fleet);
	t.ok(engine.isWhole());
	t.same(fleet.prover.proof(), wholeProof);
});

/** A loader whose goal may change. */
const createMovingLoader = (engine: FakeEngine, isGranted = true) => {
	const tools = createTools(engine);
	const leaving: boolean[] = [];
	const moving = {goal: goal as LoadGoal | null, weights: tools.weights as StagedWeights | null};
	const loader = createVersionLoader({
		engine: engine.client, prover: tools.prover, logger: silentLogger, dueMs: 8000, goal: () => moving.goal, profile: () => goal.profile, engineState: engine.stateOf,
		openWeights: async () => moving.weights,
		requestPermit: async () => isGranted,
		async setLeavingService(isLeaving) {
			leaving.push(isLeaving);
		},
	});
	return {
		...tools, loader, leaving, moving,
	};
};

// Guards against an engine that holds whole weights and serves nothing until a newer version has been fetched,
// because that version was named between its order and its proof.
t.test('an engine whose load was verified serves although a newer version is named meanwhile', async t => {
	const engine = createEngine(null);
	const {loader, moving, prover, put} = createMovingLoader(engine);
	await put(0, 1, 2, 3);
	await loader.step();
	t.ok(engine.isWhole());
	moving.goal = {...goal, version: 3};
	moving.weights = null;
	await delay(320);
	for (let step = 0; step < 4; step++) {
		await loader.step();
	}

	t.same(prover.proof(), wholeProof);
});

// Guards against all engines of a service leaving at once after all agents were restarted: the version was
// named long ago, so that none of them waits for a permit.
t.test('an engine that may still be used is not reloaded without a permit', async t => {
	const engine = createEngine(null);
	for (const chunk of [0, 1, 2, 3]) {
		engine.staged.set(chunk, chunkOf(chunk));
	}

	await lateOrder(engine)();
	t.ok(engine.isWhole());
	const {loader, leaving, moving, weights} = createMovingLoader(engine, false);
	moving.goal = {...goal, namedAgeMs: 600_000};
	await weights.readStaged();
	engine.staged.set(1, spoilt);
	for (let step = 0; step < 3; step++) {
		await loader.step();
	}

	t.same([leaving, engine.orders.map(({version}) => version)], [[], [2]]);
});

// Guards against running requests that are cut although the engine has only just left service.
t.test('an engine that may still be used finishes its running requests before it is reloaded', async t => {
	const engine = createEngine(null);
	for (const chunk of [0, 1, 2, 3]) {
		engine.staged.set(chunk, chunkOf(chunk));
	}

	await lateOrder(engine)();
	const {loader, weights} = createMovingLoader(engine);
	await weights.readStaged();
	engine.staged.set(1, spoilt);
	engine.state.running = 9;
	await loader.step();
	t.same(engine.orders.map(({version, mode}) => [version, mode]), [[2, 'afterRunning']]);
});

// Guards against an engine that is asked for all its staged chunks at every poll while it is too busy to tell its id.
t.test('staged chunks are not read again at each poll while the engine does not tell its id', async t => {
	const engine = createEngine(null);
	for (const chunk of [0, 1, 2, 3]) {
		engine.staged.set(chunk, chunkOf(chunk));
	}

	await lateOrder(engine)();
	const {loader, weights} = createMovingLoader(engine);
	await weights.readStaged();
	let reads = 0;
	const {getChunk} = engine.client;
	engine.client.getChunk = async (...parameters) => {
		reads++;
		return getChunk(...parameters);
	};

	engine.client.identity = async () => {
		throw new Error('status 503');
	};

	for (let step = 0; step < 10; step++) {
		await loader.step();
	}

	t.ok(reads <= 2 * digests.length, `${reads} reads of ${digests.length} chunks in 10 polls`);
});

// Guards against a request that names a version which this start of the engine was shown to hold, and reaches it, late,
// after a second load of that version: the agent was restarted, a staged chunk had been spoilt since the first
// load, and another one was spoilt between the check and the second load. The entry that sent it was
// suspended, its link was slow, or the report that ended the proof was lost.
t.test('a start of an engine that was whole under a version never takes that version again', async t => {
	const engine = createEngine(null);
	for (const chunk of [0, 1, 2, 3]) {
		engine.staged.set(chunk, chunkOf(chunk));
	}

	await lateOrder(engine)();
	t.ok(engine.isWhole(), 'the predecessor has shown that the engine holds version 2');
	const {loader, weights} = createMovingLoader(engine);
	await weights.readStaged();
	engine.staged.set(1, spoilt);
	const loads: Array<{version: number | null; isWhole: boolean}> = [];
	engine.hooks.beforeAccept = async () => {
		engine.staged.set(3, spoilt);
	};

	engine.hooks.afterAccept = () => {
		loads.push({version: engine.state.version, isWhole: engine.isWhole()});
	};

	for (let step = 0; step < 4; step++) {
		await loader.step();
		await delay(320);
	}

	t.same(loads.filter(({version, isWhole}) => version === 2 && !isWhole), []);
});

// Guards against an engine that waits for the confirmation of its version, which it was loaded before so that it serves
// earlier: an agent has no goal for an engine that names a version until the wanted one is confirmed.
t.test('an engine that was loaded before its version was confirmed serves before that as well', async t => {
	const engine = createEngine(null);
	const {loader, moving, prover, put} = createMovingLoader(engine);
	await put(0, 1, 2, 3);
	moving.goal = {...goal, isConfirmed: false};
	await loader.step();
	t.ok(engine.isWhole());
	moving.goal = null;
	await delay(320);
	for (let step = 0; step < 4; step++) {
		await loader.step();
	}

	t.same(prover.proof(), wholeProof);
});

// Guards against an order without an expected number of orders, which an engine may carry out at any later time: the order
// was refused because the engine had accepted another one, and the last poll was made before that.
t.test('a refusal that an outdated poll does not explain does not end the expectation', async t => {
	const engine = createEngine(null);
	const fresh = engine.stateOf;
	let polled = fresh();
	engine.stateOf = () => polled;
	const expected: Array<number | null> = [];
	const {load} = engine.client;
	engine.client.load = async order => {
		expected.push(order.expectedOrderCount);
		return load(order);
	};

	const {loader, put} = createMovingLoader(engine);
	await put(0, 1, 2, 3);
	await load({
		model: 'm', version: 1, mode: 'afterRunning', expectedOrderCount: 0,
	});
	await loader.step();
	polled = fresh();
	await delay(320);
	await loader.step();
	await loader.step();
	t.same(expected, [0, 1]);
});
