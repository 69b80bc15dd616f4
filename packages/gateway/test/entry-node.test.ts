import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import {freeAddresses} from '@bitternpaddle/test-support';
import {
	parseAddress, readBody, sendHttp, silentLogger,
} from '@bitternpaddle/transport';
import t from 'tap';
import {
	deploy, protocol, stream, wholeWeights,
} from './support/single-entry.js';
import {createEntryNode, createGatewayMetrics} from '@bitternpaddle/gateway';

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
			revocationMs: 5000, versionDueMs: 8000, retryShare: 0.2, retryWindowMs: 10_000, graceMs: 2000,
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
	engineState.weights = {type: 'none'};
	engineState.readyInMs = 300;
	await delay(150);
	const first = await call('first-attempt');
	t.equal(first.status, 503);
	const retryS = Number(first.headers['retry-after']);
	t.ok(retryS >= 0.3 && retryS <= 0.8, `the engine is ready in 0.3 s, the retry delay in seconds is ${retryS}`);
	const retry = call('retry', undefined, 1500);
	await delay(400);
	engineState.weights = wholeWeights(1);
	engineState.readyInMs = null;
	t.equal((await retry).status, 200);
});

t.test('a caller retry does not wait for an engine that becomes ready too late', async t => {
	const {call, engineState} = await deploy(t, stream);
	engineState.weights = {type: 'none'};
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
