import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	endMarkerTrailer, requestIdHeader, verdictHeader, type EndMarker, type SettleResult,
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

type FakeDoor = {
	readonly address: string;
	/** What was asked of the door, in order. */
	readonly asked: string[];
	readonly connections: Set<unknown>;
};

/** A door whose answers the test writes itself. */
const createFakeDoor = async (t: Test, settled: SettleResult['type'], handlers: {first: Handler; resume?: Handler}): Promise<FakeDoor> => {
	const asked: string[] = [];
	const connections = new Set<unknown>();
	const rpc = createRpcServer();
	rpc.method('agent.settle', z.object({attemptId: z.string(), isCancel: z.boolean()}), ({isCancel}) => {
		asked.push(isCancel ? 'cancel' : 'settle');
		return {type: settled};
	});
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			connections.add(request.socket);
			if (request.url === rpcPath) {
				await rpc.serve(request, response);
			} else if (request.url!.startsWith('/answers/')) {
				const offset = Number(new URL(request.url!, 'http://door').searchParams.get('offset'));
				asked.push(`resume ${offset}`);
				await handlers.resume!(response, offset);
			} else {
				await readBody(request);
				asked.push('send');
				await handlers.first(response, 0);
			}
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	return {address: server.address, asked, connections};
};

const begin = (response: http.ServerResponse, id = requestId): void => {
	response.writeHead(200, {
		'content-type': 'text/event-stream', [requestIdHeader]: id, [verdictHeader]: 'ran', trailer: endMarkerTrailer,
	});
};

const end = (response: http.ServerResponse, changes: Partial<EndMarker> = {}): void => {
	const marker: EndMarker = {
		requestId, sizeBytes: text.length, digest: createHash('sha256').update(text).digest('hex'), versionId: null, ...changes,
	};
	response.addTrailers({[endMarkerTrailer]: JSON.stringify(marker)});
	response.end();
};

const sendWhole: Handler = (response, offset) => {
	begin(response);
	response.write(text.slice(offset));
	end(response);
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

// The answer to an earlier request comes late on a connection that is used
// again. The caller must get its own answer: the stray one is dropped with its
// connection, the door is asked on a new one and gives the right answer.
t.test('another request\'s answer is dropped with its connection', async t => {
	const door = await createFakeDoor(t, 'ran', {
		async first(response) {
			begin(response, 'request-0');
			response.write('not yours');
			await new Promise(resolve => {
				response.once('close', resolve);
			});
			door.asked.push('closed');
		},
		resume: sendWhole,
	});
	t.equal(await readAll(await answerOf(attemptAt(door.address))), text);
	t.same(door.asked.toSorted(), ['closed', 'resume 0', 'send', 'settle']);
	t.equal(door.connections.size, 3, 'each on a connection of its own');
});

// The connection between entry and agent is cut in the middle of a stream. The
// caller gets the whole answer: the entry reads on where it was cut off.
t.test('a cut stream is read on at its offset', async t => {
	const door = await createFakeDoor(t, 'running', {
		first(response) {
			begin(response);
			response.write(text.slice(0, middle), () => {
				setTimeout(() => {
					response.destroy();
				}, 20);
			});
		},
		resume: sendWhole,
	});
	t.equal(await readAll(await answerOf(attemptAt(door.address))), text);
	t.same(door.asked, ['send', `resume ${middle}`]);
});

// The same, but the connection goes silent for good instead of being cut:
// no error ever comes, and without a bound the caller would wait until its deadline.
t.test('a stream that falls silent is read on on a new connection', async t => {
	const door = await createFakeDoor(t, 'running', {
		first(response) {
			begin(response);
			response.write(text.slice(0, middle));
		},
		resume: sendWhole,
	});
	t.equal(await readAll(await answerOf(attemptAt(door.address))), text);
	t.same(door.asked, ['send', `resume ${middle}`]);
});

// The connection is silent before the answer begins; the door says on a new
// one that the request has run. The answer is fetched, the request not sent again.
t.test('a request that ran behind a silent connection is not sent again', async t => {
	const door = await createFakeDoor(t, 'ran', {
		first() {
		// Never answers.
		}, resume: sendWhole,
	});
	t.equal(await readAll(await answerOf(attemptAt(door.address))), text);
	t.same(door.asked, ['send', 'settle', 'resume 0']);
});

// An engine takes its time before the first token, far longer than a
// connection may be silent. The door's signs of life keep the entry waiting.
t.test('signs of life keep a slow answer from being suspected', async t => {
	const door = await createFakeDoor(t, 'running', {
		async first(response) {
			for (let count = 0; count < 10; count++) {
				await delay(suspectMs / 3);
				response.writeProcessing();
			}

			await sendWhole(response, 0);
		},
	});
	t.equal(await readAll(await answerOf(attemptAt(door.address))), text);
	t.same(door.asked, ['send']);
});

// One byte is changed on the way, or bytes are missing, or the end marker is
// another's or absent. Each of these must not pass for a whole answer.
for (const [name, first] of Object.entries<Handler>({
	'a changed byte'(response) {
		begin(response);
		response.write(text.replace('two', 'twO'));
		end(response);
	},
	'missing bytes'(response) {
		begin(response);
		response.write(text.slice(0, middle));
		end(response);
	},
	'another request\'s end marker'(response) {
		begin(response);
		response.write(text);
		end(response, {requestId: 'request-0'});
	},
	'another version\'s end marker'(response) {
		begin(response);
		response.write(text);
		end(response, {versionId: 'pitch-desk:v2'});
	},
	'no end marker'(response) {
		begin(response);
		response.end(text);
	},
})) {
	t.test(`an answer with ${name} is not whole`, async t => {
		const door = await createFakeDoor(t, 'ran', {first});
		await t.rejects(readAll(await answerOf(attemptAt(door.address))), BrokenAnswerError);
	});
}

// What the door answers when it is asked decides what the caller is told.
for (const [settled, verdict] of [['notRun', 'notRun'], ['unknown', 'mayHaveRun']] as const) {
	t.test(`a silent connection, settled as ${settled}, gives ${verdict}`, async t => {
		const door = await createFakeDoor(t, settled, {
			first() {
			// Never answers.
			},
		});
		t.match(await dispatch(attemptAt(door.address)), {type: 'verdict', verdict: {type: verdict}});
	});
}

t.test('a host that refuses connections has run nothing', async t => {
	const door = await createFakeDoor(t, 'ran', {first: sendWhole});
	const gone = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler() {
			// Nobody calls.
		},
	});
	await gone.close();
	t.match(await dispatch(attemptAt(gone.address)), {type: 'verdict', verdict: {type: 'notRun'}});
	t.same(door.asked, []);
});

// The connection is reset after the request went out, and nobody can be asked:
// the agent may have passed the request on before it died.
t.test('a host that dies after it got the request may have run it', async t => {
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request) {
			await readBody(request);
			server.destroy();
		},
	});
	t.match(await dispatch(attemptAt(server.address)), {type: 'verdict', verdict: {type: 'mayHaveRun'}});
});

// The caller hangs up while the endpoint works. The run is cancelled at the
// door, or it would hold its slot until the engine has finished for nobody.
t.test('a request that is given up is cancelled at the door', async t => {
	const abort = new AbortController();
	const door = await createFakeDoor(t, 'running', {
		first() {
			abort.abort('callerGone');
		},
	});
	t.match(await dispatch(attemptAt(door.address, {signal: abort.signal})), {type: 'verdict', verdict: {type: 'mayHaveRun', reason: 'the caller hung up'}});
	t.same(door.asked, ['send', 'cancel']);
});
