import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {connectLateReader} from './support/late-reader.js';
import {deploy, stream} from './support/single-entry.js';

/** More than the kernel buffers of both ends of a connection take. */
const largeBytes = 14 * 1024 * 1024;

const answerLarge = (response: ServerResponse, id: string): void => {
	response.writeHead(200, {
		'content-type': 'text/plain', 'content-length': largeBytes, 'x-id': id, 'x-signature': 's',
	});
	response.end(Buffer.alloc(largeBytes, 'a'));
};

/** Streams events with pauses between them. */
const streamSlowly = async (response: ServerResponse, id: string, pausesMs: readonly number[]): Promise<void> => {
	response.writeHead(200, {'content-type': 'text/event-stream', 'x-id': id, 'x-signature': 's'});
	for (const [index, pauseMs] of pausesMs.entries()) {
		await delay(pauseMs);
		response.write(`id: ${index + 1}\ndata: a\n\n`);
	}

	response.end();
};

const isWhole = (text: string, events: number): boolean => text.includes(`id: ${events}\n`) && text.endsWith('\n\n');

// Guards against closing a connection as idle while a part of its answer still waits for the caller to read.
t.test('a shutdown does not cut an answer that its caller reads late', async t => {
	const answered: string[] = [];
	const {front, entryNode} = await deploy(t, (request, response) => {
		const id = String(request.headers['x-id']);
		if (id.startsWith('large')) {
			answerLarge(response, id);
			response.once('finish', () => {
				answered.push(id);
			});
		} else {
			stream(request, response);
		}
	}, {graceMs: 4000});
	const caller = await connectLateReader(t, front);
	caller.send('large-1', 2000);
	while (answered.length === 0) {
		await delay(10);
	}

	const stopped = entryNode.stop();
	await delay(2200);
	const received = await caller.read();
	t.equal(received.length - received.indexOf('\r\n\r\n') - 4, largeBytes);
	await stopped;
});

// Guards against starting a request that the end of the grace period cuts because its engine is slower than expected.
t.test('an entry that is shutting down starts no request whose deadline is later than its end', async t => {
	const started: string[] = [];
	const {call, entryNode} = await deploy(t, (request, response) => {
		const id = String(request.headers['x-id']);
		started.push(id);
		if (id === 'slow') {
			void streamSlowly(response, id, [10, ...Array.from({length: 6}, () => 300)]);
		} else {
			stream(request, response);
		}
	});
	const stopped = entryNode.stop();
	await delay(400);
	t.match(await call('slow').catch(() => 'cut'), {status: 503});
	t.notOk(started.includes('slow'));
	await stopped;
});

// Guards against breaking off a stream that its engine still works on when no other endpoint can resume it.
t.test('a stream that pauses is completed if no other endpoint can resume it', async t => {
	const {call} = await deploy(t, (request, response) => {
		const id = String(request.headers['x-id']);
		if (id === 'pauses') {
			void streamSlowly(response, id, [10, 10, 1100, 10]);
		} else {
			stream(request, response);
		}
	});
	const {status, text} = await call('pauses');
	t.equal(status, 200);
	t.ok(isWhole(text, 4), text);
});

// Guards against closing a connection without an answer at the end of the grace period.
t.test('a request that waits for its engine at the end of the grace period is answered', async t => {
	const {call, entryNode} = await deploy(t, (request, response) => {
		if (request.headers['x-id'] !== 'silent') {
			stream(request, response);
		}
	}, {graceMs: 1000});
	const silent = call('silent');
	await delay(100);
	await entryNode.stop();
	t.equal((await silent.catch(() => ({status: 0}))).status, 502);
});

// Guards against closing the connections of a busy host before it has sent its last answers.
t.test('requests are answered at the end of the grace period on a host whose timers fire late', async t => {
	const {call, entryNode} = await deploy(t, (request, response) => {
		if (request.headers['x-id'] !== 'silent') {
			stream(request, response);
		}
	}, {graceMs: 1000});
	const silent = call('silent');
	await delay(100);
	setTimeout(() => {
		const untilMs = performance.now() + 150;
		while (performance.now() < untilMs) {
			// Keeps the event loop busy.
		}
	}, 880);
	await entryNode.stop();
	t.equal((await silent.catch(() => ({status: 0}))).status, 502);
});
