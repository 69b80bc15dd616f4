import http from 'node:http';
import {postJson, waitUntil} from '@bitternpaddle/daemon';
import {parseAddress} from '@bitternpaddle/transport';
import t from 'tap';
import {createRequestCluster, isWholeStream, type RequestCluster} from './support/request-cluster.js';

const errorTypeOf = (text: string): string => (JSON.parse(text) as {error: {type: string}}).error.type;

/** Waits until the stream that is under way has had its first tokens from the engine. */
const untilStreaming = async (cluster: RequestCluster): Promise<void> => {
	await waitUntil('a stream runs', () => cluster.engines.some(({endpoint}) => endpoint.running() > 0));
};

/** A keep-alive caller that reads the head only, and then hangs up when told to. */
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
		for (const own of faultsOf) {
			Object.assign(own, faults);
		}
	};

	const runCount = (): number => cluster.engines.reduce((sum, {endpoint}) => sum + endpoint.runs.length, 0);

	// Every connection between entries and agents is cut in the middle of a
	// stream. The caller sees nothing of it: the whole answer, from one run.
	await t.test('connections are cut in the middle of a stream', async t => {
		const before = runCount();
		setFaults({stallMs: 30});
		const answer = cluster.chat({content: 'cut', maxTokens: 20});
		await untilStreaming(cluster);
		await Promise.all(relays.map(async relay => {
			relay.goDown();
			await relay.comeUp();
		}));
		t.ok(isWholeStream(await answer), 'the answer is whole');
		t.equal(runCount() - before, 1, 'it ran once');
		setFaults({stallMs: undefined});
	});

	// The open connections go silent for good in the middle of a stream, with no
	// error at either end, while new ones work. Again the caller sees nothing.
	await t.test('connections go silent in the middle of a stream', async t => {
		const before = runCount();
		setFaults({stallMs: 60});
		const answer = cluster.chat({content: 'silent', maxTokens: 20});
		await untilStreaming(cluster);
		for (const relay of relays) {
			relay.silenceOpenConnections();
		}

		t.ok(isWholeStream(await answer), 'the answer is whole');
		t.equal(runCount() - before, 1, 'it ran once');
		setFaults({stallMs: undefined});
	});

	// Pooled connections went silent while they lay idle. The next requests go
	// out on them and never arrive; the doors bar them, and they are sent anew.
	await t.test('idle connections have gone silent', async t => {
		await Promise.all(Array.from({length: 6}, async (_, index) => cluster.chat({content: `warm ${index}`})));
		for (const relay of relays) {
			relay.silenceOpenConnections();
		}

		const before = runCount();
		t.ok(isWholeStream(await cluster.chat({content: 'after'})));
		t.equal(runCount() - before, 1, 'it ran once');
	});

	// Somebody swaps the engine's weights in the middle of an answer. A stream
	// must not reach its [DONE], and a whole answer becomes an error.
	await t.test('the engine swaps its weights in the middle of an answer', async t => {
		setFaults({swapAfterTokens: 3});
		const streamed = await cluster.chat({content: 'swap'}).catch(() => null);
		t.equal(streamed, null, 'the stream is cut');
		await reload(cluster);
		const whole = await cluster.chat({content: 'swap', stream: false});
		t.equal(errorTypeOf(whole.text), 'may_have_run');
		setFaults({swapAfterTokens: undefined});
		await reload(cluster);
	});

	// The engine sends the answer to the request before. The caller must not get
	// it, and is told that its own may have run.
	await t.test('the engine answers another request', async t => {
		await cluster.chat({content: 'somebody else\'s question'});
		setFaults({isCrossed: true});
		const answer = await cluster.chat({content: 'mine', stream: false});
		setFaults({isCrossed: undefined});
		t.equal(errorTypeOf(answer.text), 'may_have_run');
		t.notOk(answer.text.includes('somebody'));
	});

	// The engine breaks off in the middle. Nothing can give the rest: the caller
	// sees a cut connection, never an end.
	await t.test('the engine cuts a stream', async t => {
		setFaults({cutAfterTokens: 3});
		t.equal(await cluster.chat({content: 'cut'}).catch(() => null), null);
		setFaults({cutAfterTokens: undefined});
	});

	// The caller hangs up in the middle of a long stream. The engine hears of it
	// and its slot is free long before the stream would have ended.
	await t.test('the caller hangs up', async t => {
		setFaults({stallMs: 50});
		const {hangUp} = await openStream(cluster.entries[0]!.address, 100_000);
		await untilStreaming(cluster);
		hangUp();
		await waitUntil('the engine has stopped', () => cluster.engines.every(({endpoint}) => endpoint.running() === 0));
		t.pass('the slot is free');
		setFaults({stallMs: undefined});
	});

	// The engine takes the request and says nothing. At the caller's deadline,
	// not later, it gets its final answer, and the engine's slot is free again.
	await t.test('the deadline passes at a silent engine', async t => {
		setFaults({isSilent: true});
		const answer = await cluster.chat({content: 'silent', headers: {'x-bitternpaddle-deadline-ms': '400'}});
		t.equal(answer.status, 502);
		t.match(JSON.parse(answer.text), {error: {type: 'may_have_run', message: 'the deadline passed'}});
		await waitUntil('the slots are free', () => cluster.engines.every(({endpoint}) => endpoint.running() === 0));
		setFaults({isSilent: undefined});
	});

	t.test('a deadline that is no number is refused', async t => {
		const answer = await cluster.chat({content: 'x', headers: {'x-bitternpaddle-deadline-ms': 'soon'}});
		t.equal(answer.status, 400);
	});

	// Requests hang at silent engines when a new version is ordered. The switch
	// waits for what runs, but not for ever: the engines' silence ends those
	// requests, the new version comes into force, and the doors open again.
	await t.test('a switch of versions while requests hang', async t => {
		setFaults({isSilent: true});
		const hanging = Promise.all(Array.from({length: 4}, async (_, index) => cluster.chat({content: `hangs ${index}`})));
		await waitUntil('they hang', () => cluster.engines.reduce((sum, {endpoint}) => sum + endpoint.running(), 0) === 4);
		setFaults({isSilent: undefined});
		await cluster.load(2);
		t.ok((await hanging).every(answer => errorTypeOf(answer.text) === 'may_have_run'));
		const answer = await cluster.chat({content: 'after'});
		t.ok(isWholeStream(answer));
		t.equal(answer.headers['x-bitternpaddle-version'], 'pitch-desk:v2');
	});
});

const reload = async (cluster: RequestCluster): Promise<void> => {
	// The agents notice the swap with the answer; an order brings the right weights back.
	await cluster.load(2);
	await cluster.load(1);
};

// An entry is cut off from control and does not hear of a drain. It still
// believes in the drained host and sends requests there: the host itself refuses
// them as not run, and they are served by the other one.
t.test('a drained host refuses whatever an entry believes', async t => {
	const cluster = await createRequestCluster(t, {engines: 2, entries: 2});
	await cluster.load(1);
	cluster.controlRelay.setModes({forward: 'dropped', backward: 'dropped'});
	await cluster.run('drain host h1');
	await waitUntil('the host knows', () => cluster.engines[0]!.agent.inForce().revision > cluster.entries[0]!.inForce().revision);
	const before = cluster.engines[0]!.endpoint.runs.length;
	const answers = await Promise.all(Array.from({length: 8}, async (_, index) => cluster.chat({content: `later ${index}`, entry: 0})));
	t.ok(answers.every(answer => isWholeStream(answer)), 'all are served');
	t.equal(cluster.engines[0]!.endpoint.runs.length, before, 'the drained host gets none');
});

// Planned stops of an agent and of an entry while streams run through them, over
// keep-alive connections that stay open. No stream is cut, and both stops come
// to an end as soon as the streams have.
t.test('planned stops cut nothing off', async t => {
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
	t.ok((await streams).every(answer => isWholeStream(answer)), 'all streams are whole');
	await stops;
	const before = cluster.engines[0]!.endpoint.runs.length;
	t.ok(isWholeStream(await cluster.chat({content: 'after', entry: 0})));
	t.equal(cluster.engines[0]!.endpoint.runs.length, before, 'the stopped host gets nothing');
});
