import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	endMarkerTrailer, requestIdHeader, verdictHeader, type EndMarker, type AttemptResolution,
} from '@bitternpaddle/protocol';
import {
	createHttpServer, createRpcServer, readBody, rpcPath,
} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import * as z from 'zod';
import {
	BrokenAnswerError, dispatch, type Attempt, type AttemptAnswer,
} from '@bitternpaddle/daemon';

const requestId = 'request-1';
const text = 'data: one\n\ndata: two\n\ndata: [DONE]\n\n';
const middle = 14;
const suspectMs = 100;

type Handler = (response: http.ServerResponse, offset: number) => void | Promise<void>;

type FakeGate = {
	readonly address: string;
	/** The calls that the gate received, in order. */
	readonly calls: string[];
	readonly connections: Set<unknown>;
};

/** A request gate whose answers are written by the test. */
const createFakeGate = async (t: Test, resolutionType: AttemptResolution['type'], handlers: {first: Handler; resume?: Handler}): Promise<FakeGate> => {
	const calls: string[] = [];
	const connections = new Set<unknown>();
	const rpc = createRpcServer();
	rpc.method('agent.settle', z.object({attemptId: z.string(), isCancel: z.boolean()}), ({isCancel}) => {
		calls.push(isCancel ? 'cancel' : 'settle');
		return {type: resolutionType};
	});
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			connections.add(request.socket);
			if (request.url === rpcPath) {
				await rpc.serve(request, response);
			} else if (request.url!.startsWith('/answers/')) {
				const offset = Number(new URL(request.url!, 'http://door').searchParams.get('offset'));
				calls.push(`resume ${offset}`);
				await handlers.resume!(response, offset);
			} else {
				await readBody(request);
				calls.push('send');
				await handlers.first(response, 0);
			}
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	return {address: server.address, calls, connections};
};

const beginAnswer = (response: http.ServerResponse, id = requestId): void => {
	response.writeHead(200, {
		'content-type': 'text/event-stream', [requestIdHeader]: id, [verdictHeader]: 'ran', trailer: endMarkerTrailer,
	});
};

const endAnswer = (response: http.ServerResponse, changes: Partial<EndMarker> = {}): void => {
	const marker: EndMarker = {
		requestId, sizeBytes: text.length, digest: createHash('sha256').update(text).digest('hex'), versionId: null, ...changes,
	};
	response.addTrailers({[endMarkerTrailer]: JSON.stringify(marker)});
	response.end();
};

const sendComplete: Handler = (response, offset) => {
	beginAnswer(response);
	response.write(text.slice(offset));
	endAnswer(response);
};

const attemptAt = (address: string, changes: Partial<Attempt> = {}): Attempt => ({
	endpoint: {address, incarnation: 1, versionId: null}, requestId, attemptId: `${requestId}.1`, issue: {sender: 'entry', sequence: 1}, revision: 0,
	method: 'POST', path: '/v1/chat/completions', contentType: 'application/json', body: Buffer.from('{}'), idempotencyKey: null, isOnce: false,
	suspectMs, remainingMs: 10_000, signal: new AbortController().signal, ...changes,
});

const answerOf = async (attempt: Attempt): Promise<AttemptAnswer> => {
	const outcome = await dispatch(attempt);
	if (outcome.type !== 'answer') {
		throw new Error(`no answer: ${outcome.verdict.type} ${outcome.verdict.reason}`);
	}

	return outcome.answer;
};

const readAll = async (answer: AttemptAnswer): Promise<string> => {
	const parts: Buffer[] = [];
	for await (const part of answer.parts()) {
		parts.push(part);
	}

	return Buffer.concat(parts).toString();
};

// The answer to an earlier request arrives late on a reused connection. The caller
// must get its own answer: the connection with the wrong one is closed, and the
// right answer is fetched on a new connection.
t.test('another request\'s answer is discarded with its connection', async t => {
	const gate = await createFakeGate(t, 'ran', {
		async first(response) {
			beginAnswer(response, 'request-0');
			response.write('not yours');
			await new Promise(resolve => {
				response.once('close', resolve);
			});
			gate.calls.push('closed');
		},
		resume: sendComplete,
	});
	t.equal(await readAll(await answerOf(attemptAt(gate.address))), text);
	t.same(gate.calls.toSorted(), ['closed', 'resume 0', 'send', 'settle']);
	t.equal(gate.connections.size, 3, 'each call uses its own connection');
});

// The connection between entry and agent is closed in the middle of a stream. The
// caller must get the complete answer: the entry resumes it at the offset reached.
t.test('a disconnected stream is resumed at its offset', async t => {
	const gate = await createFakeGate(t, 'running', {
		first(response) {
			beginAnswer(response);
			response.write(text.slice(0, middle), () => {
				setTimeout(() => {
					response.destroy();
				}, 20);
			});
		},
		resume: sendComplete,
	});
	t.equal(await readAll(await answerOf(attemptAt(gate.address))), text);
	t.same(gate.calls, ['send', `resume ${middle}`]);
});

// The same, but the connection becomes silent instead of being closed: no error
// ever occurs, and without a timeout the caller would wait until its deadline.
t.test('a stream that becomes silent is resumed on a new connection', async t => {
	const gate = await createFakeGate(t, 'running', {
		first(response) {
			beginAnswer(response);
			response.write(text.slice(0, middle));
		},
		resume: sendComplete,
	});
	t.equal(await readAll(await answerOf(attemptAt(gate.address))), text);
	t.same(gate.calls, ['send', `resume ${middle}`]);
});

// The connection becomes silent before the answer begins, and the gate reports on
// a new connection that the request has run. The answer must be fetched without
// sending the request again.
t.test('a request that has run is not resent after its connection became silent', async t => {
	const gate = await createFakeGate(t, 'ran', {
		first() {
		// Never answers.
		}, resume: sendComplete,
	});
	t.equal(await readAll(await answerOf(attemptAt(gate.address))), text);
	t.same(gate.calls, ['send', 'settle', 'resume 0']);
});

// An engine takes far longer for its first token than a connection may be silent.
// The gate's keep-alive responses (102 Processing) must keep the entry waiting.
t.test('keep-alive responses prevent the timeout of a slow answer', async t => {
	const gate = await createFakeGate(t, 'running', {
		async first(response) {
			for (let count = 0; count < 10; count++) {
				await delay(suspectMs / 3);
				response.writeProcessing();
			}

			await sendComplete(response, 0);
		},
	});
	t.equal(await readAll(await answerOf(attemptAt(gate.address))), text);
	t.same(gate.calls, ['send']);
});

// A byte is changed in transit, bytes are missing, or the end marker is absent or
// belongs to another request or version. None of these may be accepted as complete.
for (const [name, first] of Object.entries<Handler>({
	'a changed byte'(response) {
		beginAnswer(response);
		response.write(text.replace('two', 'twO'));
		endAnswer(response);
	},
	'missing bytes'(response) {
		beginAnswer(response);
		response.write(text.slice(0, middle));
		endAnswer(response);
	},
	'another request\'s end marker'(response) {
		beginAnswer(response);
		response.write(text);
		endAnswer(response, {requestId: 'request-0'});
	},
	'another version\'s end marker'(response) {
		beginAnswer(response);
		response.write(text);
		endAnswer(response, {versionId: 'pitch-desk:v2'});
	},
	'no end marker'(response) {
		beginAnswer(response);
		response.end(text);
	},
})) {
	t.test(`an answer with ${name} is not complete`, async t => {
		const gate = await createFakeGate(t, 'ran', {first});
		await t.rejects(readAll(await answerOf(attemptAt(gate.address))), BrokenAnswerError);
	});
}

// The gate's answer about an unresolved request determines the verdict for the caller.
for (const [resolutionType, verdict] of [['notRun', 'notRun'], ['unknown', 'mayHaveRun']] as const) {
	t.test(`a silent connection, resolved as ${resolutionType}, gives ${verdict}`, async t => {
		const gate = await createFakeGate(t, resolutionType, {
			first() {
			// Never answers.
			},
		});
		t.match(await dispatch(attemptAt(gate.address)), {type: 'verdict', verdict: {type: verdict}});
	});
}

t.test('a host that refuses connections has run nothing', async t => {
	const gate = await createFakeGate(t, 'ran', {first: sendComplete});
	const gone = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler() {
			// Never called.
		},
	});
	await gone.close();
	t.match(await dispatch(attemptAt(gone.address)), {type: 'verdict', verdict: {type: 'notRun'}});
	t.same(gate.calls, []);
});

// The connection is reset after the request was sent, and the outcome cannot be
// queried: the agent may have forwarded the request to the engine before it crashed.
t.test('a host that crashes after it received the request may have run it', async t => {
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request) {
			await readBody(request);
			server.destroy();
		},
	});
	t.match(await dispatch(attemptAt(server.address)), {type: 'verdict', verdict: {type: 'mayHaveRun'}});
});

// The caller disconnects while the endpoint processes the request. The run must be
// cancelled at the request gate, or it would occupy its slot until the engine has
// finished an unneeded answer.
t.test('an abandoned request is cancelled at the request gate', async t => {
	const abort = new AbortController();
	const gate = await createFakeGate(t, 'running', {
		first() {
			abort.abort('callerGone');
		},
	});
	t.match(await dispatch(attemptAt(gate.address, {signal: abort.signal})), {type: 'verdict', verdict: {type: 'mayHaveRun', reason: 'the caller hung up'}});
	t.same(gate.calls, ['send', 'cancel']);
});
