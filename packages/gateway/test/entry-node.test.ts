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
	readTokens: headers => ({prompt: 100, maxAnswer: Number(headers['x-tokens'] ?? 10)}),
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

/** Starts a core host, an entry and one engine in this process; `stepClockMs` steps the wall clock of the entry. */
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
		selfAddress: core!, zoneId: 'z', regionId: 'r', folder: path.join(testFolder(t), 'core'), isFirstStart: true, seeds: () => [core!], toleratedLosses: 0, clock, logger: silentLogger,
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

// Guards against refusing all requests after a step of the wall clock: only the lease may use that
// clock, where a step costs one request to the core. Otherwise the reports of every engine would
// appear seconds old.
t.test('no request is refused after a step of the wall clock', async t => {
	const {call, stepClockMs} = await deploy(t, stream);
	stepClockMs(2400);
	await delay(300);
	const answers = await Promise.all(Array.from({length: 5}, async (_, index) => call(`after-${index}`)));
	t.same(answers.map(({status}) => status), [200, 200, 200, 200, 200]);
});

// Guards against an engine running a request whose caller has disconnected: the entry must close
// the connection to the engine at once.
t.test('the request of a caller that disconnects is aborted', async t => {
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
	const aborted = call('leaves-1', leaving.signal).catch(() => undefined);
	while (started.length === 0) {
		await delay(10);
	}

	leaving.abort();
	await aborted;
	while (closed.length === 0) {
		await delay(10);
	}

	t.same(closed, ['leaves-1']);
	t.equal((await call('stays')).status, 200);
});

// Guards against reporting a request as not run after an engine accepted it and never answered: at
// the caller's deadline it may have run.
t.test('a request that times out at an engine is not reported as not run', async t => {
	const {call} = await deploy(t, (request, response) => {
		if (!String(request.headers['x-id']).startsWith('silent')) {
			stream(request, response);
		}
	});
	const answer = await call('silent-1');
	t.ok(answer.status === 502 || answer.status === 504, `status ${answer.status}`);
});

// Guards against marking a truncated answer as complete: an engine that answers without a length
// and crashes ends its answer like a complete one, so the entry must not add framing.
t.test('an answer that ends with its connection is forwarded without added framing', async t => {
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

// Guards against a retry delay that is too short after a power loss of the whole system: the entry
// starts 1 s before the core has a leader and 3 s before the first engine. A caller that retries
// after 0.5 s would be refused again and has no further retry.
t.test('an entry that has not reached the core since its start returns a retry delay that covers the start of the system', async t => {
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
	t.ok(Number(response.headers['retry-after']) >= 2, `retry after ${response.headers['retry-after']} s`);
});

// Guards against refusing a caller retry while an engine loads its weights: a first attempt is refused
// with a retry delay, but a caller retry, which has 1.5 s left and no further retry, must wait for the
// engine and be answered.
t.test('a caller retry is answered by an engine that becomes ready in time', async t => {
	const {call, engineState} = await deploy(t, stream);
	engineState.version = null;
	engineState.readyInMs = 300;
	await delay(150);
	const first = await call('first-attempt');
	t.equal(first.status, 503);
	const retryS = Number(first.headers['retry-after']);
	t.ok(retryS >= 0.3 && retryS <= 0.8, `the engine is ready in 0.3 s, the retry delay in seconds is ${retryS}`);
	const retry = call('retry', undefined, 1500);
	await delay(400);
	engineState.version = 1;
	engineState.readyInMs = null;
	t.equal((await retry).status, 200);
});

t.test('a caller retry does not wait for an engine that becomes ready too late', async t => {
	const {call, engineState} = await deploy(t, stream);
	engineState.version = null;
	engineState.readyInMs = 5000;
	await delay(150);
	const answer = await call('retry', undefined, 1500);
	t.equal(answer.status, 503);
});

// Guards against starting a request whose caller disconnects before the last event: a caller retry
// has less time left than an answer takes.
t.test('a request whose answer cannot be completed in time is not sent', async t => {
	const started: string[] = [];
	const {call} = await deploy(t, (request, response) => {
		started.push(String(request.headers['x-id']));
		stream(request, response);
	});
	const answer = await call('too-late', undefined, 60);
	t.equal(answer.status, 503);
	t.notOk(started.includes('too-late'));
	t.equal((await call('in-time', undefined, 600)).status, 200);
});

// Guards against aborting a stream at shutdown: after the stop signal, a caller sends a request on
// its open connection whose answer takes longer than the rest of the grace period. Refused as not run,
// the request can be sent to another entry at once.
t.test('an entry that is shutting down starts no request that it would abort', async t => {
	const started: string[] = [];
	const {front, entryNode} = await deploy(t, (request, response) => {
		started.push(String(request.headers['x-id']));
		stream(request, response);
	});
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	t.teardown(() => {
		agent.destroy();
	});
	const send = async (id: string, maxTokens: number): Promise<http.IncomingMessage> => {
		const {host, port} = parseAddress(front);
		const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
			http.request({
				host, port, agent, method: 'POST', path: '/x', headers: {
					host: 'a.example', 'x-id': id, 'x-deadline': '6000', 'x-tokens': String(maxTokens),
				},
			}, resolve).on('error', reject).end('hello');
		});
		await readBody(response);
		return response;
	};

	t.equal((await send('before', 10_000)).statusCode, 200);
	const stopped = entryNode.stop();
	const long = await send('long', 10_000);
	t.equal(long.statusCode, 503);
	t.ok(Number(long.headers['retry-after']) < 0.1, 'another entry can accept it at once');
	t.equal(long.headers.connection, 'close');
	t.notOk(started.includes('long'));
	await stopped;
});

// Guards against refusing a short answer that completes within the rest of the grace period.
t.test('an entry that is shutting down still starts requests that complete in time', async t => {
	const {call, entryNode} = await deploy(t, stream);
	const stopped = entryNode.stop();
	t.equal((await call('short')).status, 200);
	await stopped;
});
