import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {chunkAnnouncementSchema} from '@bitternpaddle/protocol';
import {createHttpServer, createRpcServer, silentLogger} from '@bitternpaddle/transport';
import {blockEventLoop} from './support/weight-agents.js';
import {
	createPacedLinks, createWeightExchange, type EngineClient, type LoadGoal, type OriginClient,
} from '@bitternpaddle/gateway';

const engine: EngineClient = {
	state: async () => ({
		running: 0, queued: 0, pace: 1, isBusy: false, orderCount: 0, startedAtMs: null, models: [], askedAtMs: performance.now(),
	}),
	identity: async () => null,
	putChunk: async () => 'written',
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
	isConfirmed: true,
});

// A newer version is named while an older one is being fetched. Chunks of the older
// one fill the origin's link, and the digests of the newer one were queued behind them
// for two seconds, during which none of its chunks could be fetched.
t.test('fetches of the previous version are aborted before the digests of the next are requested', async t => {
	const fetchSignals: AbortSignal[] = [];
	let activeAtDigestRequest: AbortSignal[] = [];
	const origin: OriginClient = {
		async digests(_, __, version) {
			if (version === 2) {
				activeAtDigestRequest = fetchSignals.filter(({aborted}) => !aborted);
			}

			return Array.from({length: 4}, () => '0'.repeat(64));
		},
		async chunk(_, {signal}) {
			fetchSignals.push(signal);
			return new Promise((resolve, reject) => {
				signal.addEventListener('abort', () => {
					reject(new Error('aborted'));
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
	while (fetchSignals.length === 0) {
		await delay(5);
	}

	await exchange.open(goalOf(2));
	t.same(activeAtDigestRequest, []);
});

// After a power loss of all hosts, the core has no leader yet, so the wanted version is
// not confirmed; engines still hold the staged chunks of the version that they served.
// Fetching another version would overwrite those chunks; reading them back is cheap and
// lets the engine serve half a second earlier.
t.test('an unconfirmed version is not fetched, but its staged chunks are read', async t => {
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
	const opened = await exchange.open({...goalOf(2), isConfirmed: false});
	t.equal(opened?.heldChunks().length, 3);
	await delay(200);
	t.equal(fetched, 0);
	await exchange.open(goalOf(2));
	while (!opened!.isComplete()) {
		await delay(10);
	}

	t.equal(fetched, 1, 'once it is confirmed, only the missing chunk is fetched');
	t.equal(exchange.missingChunks(), 0);
});

// The process stalls during a chunk exchange, and its peers mark it as down. When it
// resumes, it must greet them again, and must not take the fetches that the stall slowed
// down for link congestion.
t.test('a process greets its peers again after a stall', async t => {
	const greetings: boolean[] = [];
	const rpc = createRpcServer();
	rpc.method('agent.have', chunkAnnouncementSchema, ({isGreeting}) => {
		greetings.push(isGreeting);
	});
	const peer = await createHttpServer({listen: '127.0.0.1:0', handler: async (request, response) => rpc.serve(request, response)});
	const links = createPacedLinks({bytesPerSecond: 1_000_000, share: () => 1});
	const exchange = createWeightExchange({
		selfAddress: '127.0.0.1:2', zoneId: 'z', regionId: 'r', engine, links, linkBytesPerSecond: 1_000_000, logger: silentLogger,
		peers: () => [{
			hostId: 'n', address: peer.address, zoneId: 'z', regionId: 'r',
		}],
		origin: {
			digests: async () => Array.from({length: 4}, () => '0'.repeat(64)),
			chunk: async () => delay(60_000, Buffer.alloc(64), {ref: false}),
		},
	});
	t.teardown(() => {
		exchange.close();
		links.close();
		peer.destroy();
	});
	const untilGreeted = async (count: number): Promise<void> => {
		while (greetings.filter(Boolean).length < count) {
			await delay(10);
		}
	};

	await exchange.open(goalOf(2));
	await untilGreeted(1);
	blockEventLoop(700);
	await untilGreeted(2);
	t.equal(greetings.filter(Boolean).length, 2);
	t.notOk(exchange.isStrained());
});

// Guards against chunks that nobody checks: a list with too few digests, as a spoilt answer of the origin may hold,
// makes a version complete and its read-back match before its last chunks are staged.
t.test('a list with another number of digests than the version has chunks is not used', async t => {
	const links = createPacedLinks({bytesPerSecond: 1_000_000, share: () => 1});
	const data = Buffer.alloc(64, 7);
	const digest = createHash('sha256').update(data).digest('hex');
	const exchange = createWeightExchange({
		selfAddress: '127.0.0.1:2', zoneId: 'z', regionId: 'r', links, linkBytesPerSecond: 1_000_000, logger: silentLogger, peers: () => [],
		engine: {...engine, getChunk: async (_, chunk) => chunk < 3 ? data : null},
		origin: {digests: async () => [digest, digest, digest], chunk: async () => data},
	});
	t.teardown(() => {
		exchange.close();
		links.close();
	});
	const opened = await exchange.open(goalOf(2));
	t.notOk(opened?.isComplete(), 'three of four chunks are staged');
});
