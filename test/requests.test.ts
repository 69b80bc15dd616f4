import http from 'node:http';
import {postJson, waitUntil} from '@bitternpaddle/daemon';
import {parseAddress} from '@bitternpaddle/transport';
import t from 'tap';
import {createRequestCluster, isCompleteStream, type RequestCluster} from './support/request-cluster.js';

const errorTypeOf = (text: string): string => (JSON.parse(text) as {error: {type: string}}).error.type;

/** Waits until an engine is running the stream. */
const waitUntilStreaming = async (cluster: RequestCluster): Promise<void> => {
	await waitUntil('a stream runs', () => cluster.engines.some(({endpoint}) => endpoint.running() > 0));
};

/** Sends a streaming request as a caller that only reads the response headers and disconnects at `hangUp`. */
const openStream = async (address: string, maxTokens: number) => new Promise<{response: http.IncomingMessage; hangUp(): void}>((resolve, reject) => {
	const {host, port} = parseAddress(address);
	const request = http.request({
		host, port, method: 'POST', path: '/v1/chat/completions', agent: false, headers: {authorization: 'Bearer test-key', 'content-type': 'application/json'},
	}, response => {
		resolve({
			response, hangUp() {
				request.destroy();
			},
		});
	});
	request.on('error', reject);
	request.end(JSON.stringify({
		model: 'pitch-desk', stream: true, max_tokens: maxTokens, messages: [{role: 'user', content: 'hello'}],
	}));
});

t.test('answers over failing connections', async t => {
	const cluster = await createRequestCluster(t, {engines: 2, entries: 2});
	await cluster.load(1);
	const relays = cluster.engines.map(({relay}) => relay);
	const faultsOf = cluster.engines.map(({endpoint}) => endpoint.faults);
	const setFaults = (faults: Record<string, unknown>): void => {
		for (const engineFaults of faultsOf) {
			Object.assign(engineFaults, faults);
		}
	};

	const runCount = (): number => cluster.engines.reduce((sum, {endpoint}) => sum + endpoint.runs.length, 0);

	// Every connection between entries and agents is closed in the middle of a
	// stream. The caller does not notice: it gets the complete answer, from one run.
	await t.test('connections are closed in the middle of a stream', async t => {
		const before = runCount();
		setFaults({stallMs: 30});
		const answer = cluster.chat({content: 'cut', maxTokens: 20});
		await waitUntilStreaming(cluster);
		await Promise.all(relays.map(async relay => {
			relay.goDown();
			await relay.comeUp();
		}));
		t.ok(isCompleteStream(await answer), 'the answer is complete');
		t.equal(runCount() - before, 1, 'it ran once');
		setFaults({stallMs: undefined});
	});

	// The open connections permanently stop delivering data in the middle of a stream,
	// without an error at either end, while new ones work. Again the caller does not notice.
	await t.test('connections stall in the middle of a stream', async t => {
		const before = runCount();
		setFaults({stallMs: 60});
		const answer = cluster.chat({content: 'silent', maxTokens: 20});
		await waitUntilStreaming(cluster);
		for (const relay of relays) {
			relay.silenceOpenConnections();
		}

		t.ok(isCompleteStream(await answer), 'the answer is complete');
		t.equal(runCount() - before, 1, 'it ran once');
		setFaults({stallMs: undefined});
	});

	// Pooled connections have stalled while they were idle. The next requests are sent
	// on them and never arrive; the request gates bar them, and they are sent again.
	await t.test('idle connections have stalled', async t => {
		await Promise.all(Array.from({length: 6}, async (_, index) => cluster.chat({content: `warm ${index}`})));
		for (const relay of relays) {
			relay.silenceOpenConnections();
		}

		const before = runCount();
		t.ok(isCompleteStream(await cluster.chat({content: 'after'})));
		t.equal(runCount() - before, 1, 'it ran once');
	});

	// The engine's weights are replaced in the middle of an answer. A stream must not
	// reach its [DONE], and the answer to a request without streaming becomes an error.
	await t.test('the engine swaps its weights in the middle of an answer', async t => {
		setFaults({swapAfterTokens: 3});
		const streamed = await cluster.chat({content: 'swap'}).catch(() => null);
		t.equal(streamed, null, 'the connection of the stream is closed');
		await restoreWeights(cluster);
		const whole = await cluster.chat({content: 'swap', stream: false});
		t.equal(errorTypeOf(whole.text), 'may_have_run');
		setFaults({swapAfterTokens: undefined});
		await restoreWeights(cluster);
	});

	// The engine sends the answer to the previous request. The caller must not get it;
	// it gets "may have run" for its own request.
	await t.test('the engine sends the answer to another request', async t => {
		await cluster.chat({content: 'somebody else\'s question'});
		setFaults({sendsPreviousAnswer: true});
		const answer = await cluster.chat({content: 'mine', stream: false});
		setFaults({sendsPreviousAnswer: undefined});
		t.equal(errorTypeOf(answer.text), 'may_have_run');
		t.notOk(answer.text.includes('somebody'));
	});

	// The engine closes the connection in the middle. The rest cannot be recovered: the
	// caller sees its connection close, never the end marker.
	await t.test('the engine truncates a stream', async t => {
		setFaults({cutAfterTokens: 3});
		t.equal(await cluster.chat({content: 'cut'}).catch(() => null), null);
		setFaults({cutAfterTokens: undefined});
	});

	// The caller disconnects in the middle of a long stream. The engine is notified,
	// and its slot is free long before the stream would have ended.
	await t.test('the caller disconnects', async t => {
		setFaults({stallMs: 50});
		const {hangUp} = await openStream(cluster.entries[0]!.address, 100_000);
		await waitUntilStreaming(cluster);
		hangUp();
		await waitUntil('the engine has stopped', () => cluster.engines.every(({endpoint}) => endpoint.running() === 0));
		t.pass('the slot is free');
		setFaults({stallMs: undefined});
	});

	// The engine accepts the request and does not respond. At the caller's deadline,
	// not later, the caller gets its final response, and the engine's slot is free again.
	await t.test('the deadline passes at an engine that does not respond', async t => {
		setFaults({isSilent: true});
		const answer = await cluster.chat({content: 'silent', headers: {'x-bitternpaddle-deadline-ms': '400'}});
		t.equal(answer.status, 502);
		t.match(JSON.parse(answer.text), {error: {type: 'may_have_run', message: 'the deadline passed'}});
		await waitUntil('the slots are free', () => cluster.engines.every(({endpoint}) => endpoint.running() === 0));
		setFaults({isSilent: undefined});
	});

	t.test('a deadline that is not a number is refused', async t => {
		const answer = await cluster.chat({content: 'x', headers: {'x-bitternpaddle-deadline-ms': 'soon'}});
		t.equal(answer.status, 400);
	});

	// Requests hang at engines that do not respond when a new version is loaded. The
	// switch waits for running requests, but not forever: the idle timeout of the
	// endpoints ends them, the new version comes into force, and the request gates
	// open again.
	await t.test('a switch of versions while requests hang', async t => {
		setFaults({isSilent: true});
		const hanging = Promise.all(Array.from({length: 4}, async (_, index) => cluster.chat({content: `hangs ${index}`})));
		await waitUntil('they hang', () => cluster.engines.reduce((sum, {endpoint}) => sum + endpoint.running(), 0) === 4);
		setFaults({isSilent: undefined});
		await cluster.load(2);
		t.ok((await hanging).every(answer => errorTypeOf(answer.text) === 'may_have_run'));
		const answer = await cluster.chat({content: 'after'});
		t.ok(isCompleteStream(answer));
		t.equal(answer.headers['x-bitternpaddle-version'], 'pitch-desk:v2');
	});
});

const restoreWeights = async (cluster: RequestCluster): Promise<void> => {
	// The agents detect the replaced weights by the answer; loading another version and back restores the right ones.
	await cluster.load(2);
	await cluster.load(1);
};

// An entry is partitioned from the control host and does not receive a drain. It
// still sends requests to the drained host: the host itself refuses them as not run,
// and they are served by the other one.
t.test('a drained host refuses requests of an entry that has not received the drain', async t => {
	const cluster = await createRequestCluster(t, {engines: 2, entries: 2});
	await cluster.load(1);
	cluster.controlRelay.setModes({forward: 'dropped', backward: 'dropped'});
	await cluster.run('drain host h1');
	await waitUntil('the host has received the drain', () => cluster.engines[0]!.agent.inForce().revision > cluster.entries[0]!.inForce().revision);
	const before = cluster.engines[0]!.endpoint.runs.length;
	const answers = await Promise.all(Array.from({length: 8}, async (_, index) => cluster.chat({content: `later ${index}`, entry: 0})));
	t.ok(answers.every(answer => isCompleteStream(answer)), 'all are served');
	t.equal(cluster.engines[0]!.endpoint.runs.length, before, 'the drained host gets none');
});

// An agent and an entry are stopped as planned while streams run through them, over
// keep-alive connections that stay open. No stream is truncated, and both stops
// complete as soon as the streams have ended.
t.test('planned stops truncate no stream', async t => {
	const cluster = await createRequestCluster(t, {engines: 2, entries: 2});
	await cluster.load(1);
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.stallMs = 20;
	}

	const keepAlive = new http.Agent({keepAlive: true});
	t.teardown(() => {
		keepAlive.destroy();
	});
	const streams = Promise.all(Array.from({length: 8}, async (_, index) => cluster.chat({content: `stream ${index}`, entry: index % 2, maxTokens: 30})));
	await waitUntil('they run', () => cluster.engines.reduce((sum, {endpoint}) => sum + endpoint.running(), 0) === 8);
	const stops = Promise.all([cluster.engines[0]!.agent.stop(), cluster.entries[1]!.stop()]);
	const refused = await postJson({
		address: cluster.entries[1]!.address, token: 'test-key', path: '/v1/chat/completions', body: {model: 'pitch-desk', messages: [{role: 'user', content: 'late'}]},
	}).catch(() => null);
	t.ok(refused === null || errorTypeOf(refused.text) === 'not_run', 'new work is refused as not run');
	t.ok((await streams).every(answer => isCompleteStream(answer)), 'all streams are complete');
	await stops;
	const before = cluster.engines[0]!.endpoint.runs.length;
	t.ok(isCompleteStream(await cluster.chat({content: 'after', entry: 0})));
	t.equal(cluster.engines[0]!.endpoint.runs.length, before, 'the stopped host gets no requests');
});
