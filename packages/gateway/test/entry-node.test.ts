import http, {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import type {RoutingConfiguration} from '@bitternpaddle/state';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {
	parseAddress, readBody, sendHttp, silentLogger,
} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createCoreNode, createEntryNode, createGatewayMetrics, createLoadReporter, type RequestProtocol,
} from '@bitternpaddle/gateway';

const configuration: RoutingConfiguration = {
	number: 1,
	routes: [{
		name: 'r', host: 'a.example', prefix: '/', retryClass: 'streaming', timeoutMs: 2000, objectiveMs: 400, pauseObjectiveMs: 300, priority: 1,
		targets: [{serviceName: 's', weight: 1}], maxAttempts: 2, isPublic: true, isResumable: true,
	}],
	services: [{
		name: 's', maxConnections: 10, origin: null, engine: {
			slots: 4, stepsPerPass: 2, stepMs: 5, perSequenceMs: 0, contextMsPerThousand: 0, readTokensPerSecond: 30_000, usualPromptTokens: 100, usualAnswerTokens: 10,
			kvCapacityTokens: 1000, model: 'm', chunks: 1, chunkBytes: 1, loadMs: 0,
		},
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	teams: null,
};

const protocol: RequestProtocol = {
	headers: {
		requestId: 'x-id', deadlineMs: 'x-deadline', expectedEndpoint: 'x-expect', expectedVersion: 'x-version', team: 'x-team', notRun: 'x-not-run', signature: 'x-signature',
		urgency: 'x-urgency', load: 'x-load', lastEventId: 'last-event-id',
	},
	decodeConfiguration: () => ({type: 'configuration', configuration}),
	readTokens: headers => ({prompt: 100, mostAnswer: Number(headers['x-tokens'] ?? 10)}),
	readActive: () => null,
	readLimit: () => ({type: 'unlimited'}),
	readPause: () => ({type: 'none'}),
	isLeaving: () => false,
};

type Serve = (request: IncomingMessage, response: ServerResponse) => void;

const stream: Serve = (request, response) => {
	response.writeHead(200, {'content-type': 'text/event-stream', 'x-id': request.headers['x-id'], 'x-signature': 's'});
	response.end('id: 1\ndata: a\n\n');
};

/** A core host, an entry and one engine, all in this process; `stepClockMs` moves the entry's time of day. */
const deploy = async (t: Test, serve: Serve) => {
	const engineState: {version: number | null; readyInMs: number | null} = {version: 1, readyInMs: null};
	const [core, entry, front, readiness] = await freeAddresses(4);
	const engine = createServer(serve);
	await new Promise<void>(resolve => {
		engine.listen(0, '127.0.0.1', resolve);
	});
	const engineAddress = `127.0.0.1:${(engine.address() as AddressInfo).port}`;
	let addedMs = 0;
	const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now() + addedMs});
	const coreNode = await createCoreNode({
		selfAddress: core!, zoneId: 'z', regionId: 'r', folder: path.join(testFolder(t), 'core'), isFirstStart: true, seeds: () => [core!], lossesBorne: 0, clock, logger: silentLogger,
	});
	const entryNode = await createEntryNode({
		selfAddress: entry!, zoneId: 'z', regionId: 'r', listen: front!, readinessListen: readiness!, seeds: () => [core!], protocol, clock, logger: silentLogger, randomSeed: 7,
		metrics: createGatewayMetrics(),
		bounds: {
			revocationMs: 5000, versionDueMs: 8000, retryShare: 0.2, retryWindowMs: 10_000, retryReserve: 10, graceMs: 2000,
		},
	});
	const reporter = createLoadReporter({endpointAddress: engineAddress, zoneId: 'z', entries: () => [{address: entry!, zoneId: 'z'}]});
	let sequence = 0;
	const timer = setInterval(() => {
		reporter.send({
			running: 0, queued: 0, pace: 1, isBusy: false, isStrained: false, ...engineState,
		}, true);
		sequence++;
		coreNode.announce({
			id: 'e1', serviceName: 's', address: engineAddress, zoneId: 'z', slots: 4, state: 'ready', models: [{model: 'm', version: 1}], startedAtMs: 0, sequence,
		});
	}, 50);
	t.teardown(async () => {
		clearInterval(timer);
		reporter.close();
		entryNode.close();
		await coreNode.close();
		engine.closeAllConnections();
		engine.close();
	});
	const call = async (id: string, signal?: AbortSignal, deadlineMs = 2000): Promise<{status: number; text: string; headers: IncomingHttpHeaders}> => {
		const response = await sendHttp({
			address: front!, method: 'POST', path: '/x', headers: {host: 'a.example', 'x-id': id, 'x-deadline': String(deadlineMs)}, body: 'hello', idleTimeoutMs: 5000, signal, agent: false,
		});
		return {status: response.statusCode!, text: (await readBody(response)).toString(), headers: response.headers};
	};

	while (await coreNode.submit({kind: 'configuration', number: 1, text: '{}'}) === 'unknown') {
		await delay(30);
	}

	while (!entryNode.isReady() || (await call('first')).status !== 200) {
		await delay(30);
	}

	return {
		engineState, call, entryNode, front: front!, stepClockMs(stepMs: number) {
			addedMs += stepMs;
		},
	};
};

// The time of day jumps ahead on an entry's host. Its leases end early, which costs
// one question to the core. Nothing else may go by that clock: every engine would
// look as if its reports had taken seconds, and every request would be refused.
t.test('a step of the time of day refuses nobody', async t => {
	const {call, stepClockMs} = await deploy(t, stream);
	stepClockMs(2400);
	await delay(300);
	const answers = await Promise.all(Array.from({length: 5}, async (_, index) => call(`after-${index}`)));
	t.same(answers.map(({status}) => status), [200, 200, 200, 200, 200]);
});

// A caller leaves while its request runs at the engine. The engine must learn of
// it at once, by the end of its connection.
t.test('the work for a caller that left is stopped', async t => {
	const closed: string[] = [];
	const started: string[] = [];
	const {call} = await deploy(t, (request, response) => {
		const id = String(request.headers['x-id']);
		if (!id.startsWith('leaves')) {
			stream(request, response);
			return;
		}

		started.push(id);
		response.on('close', () => {
			closed.push(id);
		});
	});
	const leaving = new AbortController();
	const left = call('leaves-1', leaving.signal).catch(() => undefined);
	while (started.length === 0) {
		await delay(10);
	}

	leaving.abort();
	await left;
	while (closed.length === 0) {
		await delay(10);
	}

	t.same(closed, ['leaves-1']);
	t.equal((await call('stays')).status, 200);
});

// An engine takes a request and never answers. The caller's deadline passes: it
// may have run, so the answer must not promise that it did not.
t.test('a deadline that passes promises nothing', async t => {
	const {call} = await deploy(t, (request, response) => {
		if (!String(request.headers['x-id']).startsWith('silent')) {
			stream(request, response);
		}
	});
	const answer = await call('silent-1');
	t.ok(answer.status === 502 || answer.status === 504, `status ${answer.status}`);
});

// An engine answers without a length and dies: its answer ends as a whole one
// would. Framed by the entry it would look whole to the caller for certain.
t.test('an answer that ends with its connection is passed on as one', async t => {
	const {call} = await deploy(t, (request, response) => {
		const id = String(request.headers['x-id']);
		if (id === 'unframed') {
			response.removeHeader('transfer-encoding');
			response.writeHead(400, {'x-id': id, 'x-signature': 's'});
			response.end('cut?');
		} else if (id === 'unframed-stream') {
			response.removeHeader('transfer-encoding');
			stream(request, response);
		} else {
			stream(request, response);
		}
	});
	for (const id of ['unframed', 'unframed-stream']) {
		const {headers} = await call(id);
		t.same([headers['content-length'], headers['transfer-encoding'], headers.connection], [undefined, undefined, 'close'], id);
	}

	t.equal((await call('framed')).headers['transfer-encoding'], 'chunked');
});

// Everything lost power and starts again; the entry is up a second before the core
// has a leader and three before the first engine. A caller that is told to come back
// after half a second finds nobody either, and has no further try.
t.test('an entry that has not found the core since its start sends callers away for as long as a start takes', async t => {
	const [nobody, entry, front, readiness] = await freeAddresses(4);
	const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});
	const entryNode = await createEntryNode({
		selfAddress: entry!, zoneId: 'z', regionId: 'r', listen: front!, readinessListen: readiness!, seeds: () => [nobody!], protocol, clock, logger: silentLogger, randomSeed: 7,
		metrics: createGatewayMetrics(),
		bounds: {
			revocationMs: 5000, versionDueMs: 8000, retryShare: 0.2, retryWindowMs: 10_000, retryReserve: 10, graceMs: 2000,
		},
	});
	t.teardown(() => {
		entryNode.close();
	});
	const response = await sendHttp({
		address: front!, method: 'POST', path: '/x', headers: {host: 'a.example', 'x-id': 'a', 'x-deadline': '6000'}, body: 'hello', idleTimeoutMs: 5000,
	});
	await readBody(response);
	t.equal(response.statusCode, 503);
	t.ok(Number(response.headers['retry-after']) >= 2, `come back after ${response.headers['retry-after']} s`);
});

// The engine has lost its weights and is being filled. A caller that comes for the
// first time is told when to come back; one that has come back, with a second and a
// half left and no further try, waits for the engine and is answered.
t.test('a caller that came back is answered by the engine that gets ready in time', async t => {
	const {call, engineState} = await deploy(t, stream);
	engineState.version = null;
	engineState.readyInMs = 300;
	await delay(150);
	const first = await call('first-time');
	t.equal(first.status, 503);
	const returnS = Number(first.headers['retry-after']);
	t.ok(returnS >= 0.3 && returnS <= 0.8, `the engine is ready in 0.3 s, it should come back after ${returnS}`);
	const cameBack = call('came-back', undefined, 1500);
	await delay(400);
	engineState.version = 1;
	engineState.readyInMs = null;
	t.equal((await cameBack).status, 200);
});

t.test('a caller that came back is not kept waiting for an engine that will be too late', async t => {
	const {call, engineState} = await deploy(t, stream);
	engineState.version = null;
	engineState.readyInMs = 5000;
	await delay(150);
	const answer = await call('came-back', undefined, 1500);
	t.equal(answer.status, 503);
});

// A caller comes back with less time left than an answer takes. The engine would
// begin it, and the caller would be gone before the last event.
t.test('a request whose answer cannot be whole in time is not begun', async t => {
	const begun: string[] = [];
	const {call} = await deploy(t, (request, response) => {
		begun.push(String(request.headers['x-id']));
		stream(request, response);
	});
	const answer = await call('too-late', undefined, 60);
	t.equal(answer.status, 503);
	t.notOk(begun.includes('too-late'));
	t.equal((await call('in-time', undefined, 600)).status, 200);
});

// An entry is told to end. Its caller goes on with the connection that it has, and
// sends a stream that takes longer than the entry has left. Begun, it would be cut
// with the entry after it ran; refused as not run, it goes to another entry at once.
t.test('an entry that ends begins nothing that it would cut', async t => {
	const begun: string[] = [];
	const {front, entryNode} = await deploy(t, (request, response) => {
		begun.push(String(request.headers['x-id']));
		stream(request, response);
	});
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	t.teardown(() => {
		agent.destroy();
	});
	const ask = async (id: string, mostTokens: number): Promise<http.IncomingMessage> => {
		const {host, port} = parseAddress(front);
		const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
			http.request({
				host, port, agent, method: 'POST', path: '/x', headers: {
					host: 'a.example', 'x-id': id, 'x-deadline': '6000', 'x-tokens': String(mostTokens),
				},
			}, resolve).on('error', reject).end('hello');
		});
		await readBody(response);
		return response;
	};

	t.equal((await ask('before', 10_000)).statusCode, 200);
	const stopped = entryNode.stop();
	const long = await ask('long', 10_000);
	t.equal(long.statusCode, 503);
	t.ok(Number(long.headers['retry-after']) < 0.1, 'another entry takes it at once');
	t.equal(long.headers.connection, 'close');
	t.notOk(begun.includes('long'));
	await stopped;
});

// The same entry with the time that a short answer needs: it must not be refused.
t.test('an entry that ends still begins what surely ends before', async t => {
	const {call, entryNode} = await deploy(t, stream);
	const stopped = entryNode.stop();
	t.equal((await call('short')).status, 200);
	await stopped;
});
