import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	createAgentNode, createControlNode, createEntryNode, createRelay, resolveSettings, waitUntil, type AttemptAnswer, type Relay,
} from '@bitternpaddle/daemon';
import {
	callRpc, createHttpServer, readBody, sendJson, silentLogger, TransportError, type HttpServer, type ServerLimits,
} from '@bitternpaddle/transport';
import {testFolder} from '@bitternpaddle/test-support';
import {rawPost, sendRaw} from './support/raw-http.js';

const get = 'GET /ready HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n';
const post = (sizeBytes: number, path = '/'): string => `POST ${path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\ncontent-length: ${sizeBytes}\r\n\r\n`;

type Sender = {readonly socket: net.Socket; text(): string; isClosed(): boolean};

/** Opens a connection that stays open until the server closes it. */
const openSender = async (t: Test, address: string, start = '', allowHalfOpen = false): Promise<Sender> => {
	const [host, port] = address.split(':') as [string, string];
	const socket = net.connect({host, port: Number(port), allowHalfOpen});
	t.teardown(() => {
		socket.destroy();
	});
	const parts: Buffer[] = [];
	let isClosed = false;
	socket.on('data', data => {
		parts.push(data);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isClosed = true;
	});
	await once(socket, 'connect');
	if (start !== '') {
		socket.write(start);
	}

	return {socket, text: () => Buffer.concat(parts).toString(), isClosed: () => isClosed};
};

const openSenders = async (t: Test, address: string, count: number, start = ''): Promise<Sender[]> => {
	const senders: Sender[] = [];
	while (senders.length < count) {
		senders.push(...await Promise.all(Array.from({length: Math.min(50, count - senders.length)}, async () => openSender(t, address, start))));
	}

	return senders;
};

const refusal = /^HTTP\/1\.1 503 [\s\S]*retry-after: 1\r\n[\s\S]*"type":"not_run","message":"[^"]+","requestId":null,"retryAfterMs":1000/v;

type CountingServer = {readonly server: HttpServer; readonly runs: string[]; finish(): void};

/** Starts a server that reads each body, counts the request as run, and responds; to `/slow` it responds at `finish`. */
const startServer = async (t: Test, limits: ServerLimits): Promise<CountingServer> => {
	const runs: string[] = [];
	let finish = (): void => undefined;
	const finished = new Promise<void>(resolve => {
		finish = resolve;
	});
	const server = await createHttpServer({
		listen: '127.0.0.1:0', limits,
		async handler(request, response) {
			await readBody(request);
			runs.push(request.url!);
			if (request.url === '/slow') {
				await finished;
			}

			sendJson(response, 200, {ran: true});
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	return {server, runs, finish};
};

// A client opens thousands of connections and sends nothing, or incomplete headers.
// Callers must not wait until these time out: the connection that has been idle for
// the longest is closed with a "not run" response, which is true of any request
// that its client was about to send.
for (const [what, start] of [['idle connections', ''], ['incomplete headers', 'POST / HTTP/1.1\r\nhost: te']] as const) {
	t.test(`3000 ${what} block no caller and stay bounded`, async t => {
		const {server, runs} = await startServer(t, {maxConnections: 64, headersTimeoutMs: 600_000, requestTimeoutMs: 600_000});
		const senders = await openSenders(t, server.address, 3000, start);
		t.match(await sendRaw(server.address, [get], 20_000), {status: 200});
		const open = (): number => senders.filter(sender => !sender.isClosed()).length;
		await waitUntil('the others were closed', () => open() <= 64);
		t.ok(senders.some(({text}) => refusal.test(text())), 'with a response that explains why');
		t.same(runs, ['/ready']);
	});
}

// All connections carry complete requests. Further callers are refused as not run,
// and the running requests are not affected: they get their responses.
t.test('running requests continue while more callers are refused', async t => {
	const {server, runs, finish} = await startServer(t, {maxConnections: 16});
	const running = await openSenders(t, server.address, 16, `${post(2, '/slow')}{}`);
	await waitUntil('all run', () => runs.length === 16);
	for (let index = 0; index < 5; index++) {
		t.match((await sendRaw(server.address, [rawPost({path: '/more', body: '{}'})], 20_000)).text, refusal);
	}

	t.equal(runs.length, 16, 'refused requests did not run');
	finish();
	await waitUntil('all are answered', () => running.every(sender => sender.isClosed()));
	t.ok(running.every(({text}) => text().startsWith('HTTP/1.1 200 ')));
});

// A keep-alive connection is closed by the limit between two requests. Any request
// that its client sends afterwards is not run, as the response on it states.
t.test('a keep-alive connection that was closed by the limit runs no further request', async t => {
	const {server, runs} = await startServer(t, {maxConnections: 16});
	const keepAliveSender = await openSender(t, server.address, 'GET /first HTTP/1.1\r\nhost: test\r\n\r\n', true);
	await waitUntil('it was answered', () => keepAliveSender.text().includes('"ran":true'));
	await openSenders(t, server.address, 16);
	await waitUntil('it was refused', () => refusal.test(keepAliveSender.text().slice(keepAliveSender.text().indexOf('}') + 1)));
	keepAliveSender.socket.end('GET /second HTTP/1.1\r\nhost: test\r\n\r\n');
	await waitUntil('it was closed', () => keepAliveSender.isClosed());
	t.same(runs, ['/first']);
});

// Bodies arrive a byte at a time and occupy all connections. Each byte is activity,
// but the complete request has a time limit; until then the oldest one is refused
// for a new connection.
t.test('bodies that arrive a byte at a time', async t => {
	const {server, runs} = await startServer(t, {maxConnections: 16, headersTimeoutMs: 300, requestTimeoutMs: 600});
	const senders = await openSenders(t, server.address, 16, post(100_000));
	const trickle = setInterval(() => {
		for (const {socket} of senders) {
			if (socket.writable) {
				socket.write('x');
			}
		}
	}, 20);
	t.teardown(() => {
		clearInterval(trickle);
	});
	t.match(await sendRaw(server.address, [get], 20_000), {status: 200});
	await waitUntil('all have a response', () => senders.every(sender => sender.isClosed()));
	t.ok(senders.some(({text}) => text().startsWith('HTTP/1.1 408 ')), 'too slow');
	t.ok(senders.every(({text}) => text() === '' || /^HTTP\/1\.1 (?:408|503) /v.test(text())));
	t.same(runs, ['/ready']);
});

// Senders announce large bodies, send half and wait. The announced size reserves
// nothing; the bytes sent are bounded: the largest incomplete body is refused, and
// a caller with a usual request is served at once.
t.test('the total size of large incomplete bodies is bounded', async t => {
	const {server, runs} = await startServer(t, {maxBufferedBytes: 200_000});
	const announcements = await openSenders(t, server.address, 50, post(900_000_000));
	const partialBodies = await openSenders(t, server.address, 20, `${post(60_000)}${'x'.repeat(30_000)}`);
	await waitUntil('the others were refused', () => partialBodies.filter(sender => !sender.isClosed()).length <= 6);
	const refused = partialBodies.filter(sender => sender.isClosed());
	t.ok(refused.length >= 14, `${refused.length} were refused`);
	t.ok(refused.some(({text}) => refusal.test(text()) && text().includes('x-bitternpaddle-verdict: notRun')));
	t.match(await sendRaw(server.address, [rawPost({path: '/usual', body: 'y'.repeat(1000)})], 20_000), {status: 200});
	t.same(runs, ['/usual']);
	t.equal(announcements.filter(sender => sender.isClosed()).length, 0, 'an announced size alone reserves nothing');
});

// Running requests use up the limit of buffered bytes. A new body is refused; the
// running requests keep theirs until they get their responses, which frees the
// capacity.
t.test('bodies of running requests are buffered until their responses end', async t => {
	const {server, runs, finish} = await startServer(t, {maxBufferedBytes: 100_000});
	const running = await openSenders(t, server.address, 3, `${post(30_000, '/slow')}${'x'.repeat(30_000)}`);
	await waitUntil('all run', () => runs.length === 3);
	const late = await openSender(t, server.address, `${post(30_000)}${'x'.repeat(29_999)}`);
	await waitUntil('it is refused', () => late.isClosed());
	t.ok(late.text() === '' || refusal.test(late.text()));
	finish();
	await waitUntil('all are answered', () => running.every(sender => sender.isClosed()));
	t.ok(running.every(({text}) => text().startsWith('HTTP/1.1 200 ')));
	t.match(await sendRaw(server.address, [rawPost({path: '/next', body: 'x'.repeat(30_000)})], 20_000), {status: 200});
	t.same(runs, ['/slow', '/slow', '/slow', '/next']);
});

// A caller sends a request and never reads. Its response would stay in memory
// forever; the connection is closed, even if the memory is not needed otherwise.
t.test('the connection of a response that is never read is closed', async t => {
	let isClosed = false;
	const sizeBytes = 32 * 1024 * 1024;
	const server = await createHttpServer({
		listen: '127.0.0.1:0', limits: {unreadTimeoutMs: 200},
		async handler(_request, response) {
			response.once('close', () => {
				isClosed = true;
			});
			response.end(Buffer.alloc(sizeBytes));
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	const caller = await openSender(t, server.address);
	caller.socket.pause();
	caller.socket.write(get);
	await waitUntil('its connection was closed', () => isClosed);
	caller.socket.resume();
	await waitUntil('the caller sees the end', () => caller.isClosed());
	t.ok(caller.text().length < sizeBytes, 'and not the complete response');
});

// If the next byte of a response takes longer than that, its connection stays open: the caller is reading.
t.test('the connection of a response that has no next byte yet stays open', async t => {
	const server = await createHttpServer({
		listen: '127.0.0.1:0', limits: {unreadTimeoutMs: 100},
		async handler(_request, response) {
			response.write('first,');
			await delay(500);
			response.end('last');
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	t.match((await sendRaw(server.address, [get], 20_000)).text, /first,[\s\S]*last/v);
});

// A caller reads its stream slower than the endpoint writes it. The entry reads
// the next part from the agent only after the caller has read the previous one;
// otherwise the entry would buffer the complete stream. Then the caller continues
// to read, and its stream is complete.
t.test('a slow reader causes backpressure on its stream', async t => {
	const part = Buffer.alloc(65_536, 'x');
	const partCount = 1024;
	let readCount = 0;
	let listenerCount = 0;
	let response: http.ServerResponse | undefined;
	const answer: AttemptAnswer = {
		status: 200, headers: {'content-type': 'application/octet-stream', 'x-bitternpaddle-host': 'h1'},
		async * parts() {
			while (readCount < partCount) {
				readCount++;
				listenerCount = Math.max(listenerCount, response!.listenerCount('close'));
				yield part;
			}
		},
		monitorSilence: () => undefined, didEndpointExit: () => false,
	};
	const relay = createRelay({logger: silentLogger});
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(_request, given) {
			response = given;
			const call = {response, requestId: 'r1', trace: {firstByte: () => undefined, cut: () => undefined}};
			await relay.stream(call as unknown as Parameters<Relay['stream']>[0], answer);
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	const caller = await openSender(t, server.address);
	caller.socket.pause();
	caller.socket.write(get);
	let before = -1;
	await waitUntil('nothing more is read', async () => {
		await delay(200);
		const hasStopped = readCount > 0 && readCount === before;
		before = readCount;
		return hasStopped;
	});
	t.ok(readCount < partCount / 2, `${readCount} parts of ${partCount} were read: what the kernel buffers, and one more`);
	caller.socket.resume();
	await waitUntil('the stream has ended', () => caller.isClosed());
	t.equal(readCount, partCount);
	t.ok(listenerCount < 10, 'a wait leaves no listener');
	t.ok(caller.text().length >= partCount * part.length, 'and the caller got all of it');
});

// An RPC is sent to an overloaded server. Its response is not JSON-RPC and has no
// call id: the caller must get an error, not wait forever.
t.test('a call to a server that refuses fails at once', async t => {
	const {server, runs, finish} = await startServer(t, {maxConnections: 16});
	await openSenders(t, server.address, 16, `${post(2, '/slow')}{}`);
	await waitUntil('all run', () => runs.length === 16);
	await t.rejects(callRpc({
		address: server.address, method: 'any', params: {}, timeoutMs: 20_000,
	}), TransportError);
	finish();
});

// The limit applies to every role, since all use the same server.
t.test('entry, agent and control host apply their connection limit', async t => {
	const folder = testFolder(t);
	const serverLimits = {maxConnections: 16};
	const members = new Map<string, string>();
	const control = await createControlNode({
		selfId: 'c1', folder: path.join(folder, 'c1'), members, voters: ['c1'], serverLimits,
	});
	const entry = await createEntryNode({entryId: 'e1', controls: [control.address], serverLimits});
	const agent = await createAgentNode({
		hostId: 'h1', zoneId: 'z', regionId: 'r', serviceId: 's', provider: 'p', kind: 'plain', endpointAddress: '127.0.0.1:1', controls: [control.address],
		originAddress: '', folder: path.join(folder, 'h1'), serverLimits,
	});
	t.teardown(async () => {
		await Promise.all([entry.kill(), agent.kill()]);
		await control.close();
	});
	for (const {address} of [entry, agent, control]) {
		const senders = await openSenders(t, address, 100);
		t.match(await sendRaw(address, ['GET /nothing HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n'], 20_000), {status: 404});
		await waitUntil('the others were closed', () => senders.filter(sender => !sender.isClosed()).length <= 16);
	}
});

t.test('the settings of a server are validated', async t => {
	const requiredFlags = {roles: 'control', hostId: 'c1', controls: 'c1=127.0.0.1:1'};
	const problemsOf = (flags: Record<string, string>): readonly string[] => {
		const result = resolveSettings({...requiredFlags, ...flags}, {});
		return result.type === 'problems' ? result.problems : [];
	};

	t.same(problemsOf({}), []);
	t.same(problemsOf({maxConnections: '15'}), ['--max-connections (BITTERNPADDLE_MAX_CONNECTIONS) is "15": expected a whole number from 16 to 1000000']);
	t.same(problemsOf({maxBufferedBytes: '8388608'}), ['--max-buffered-bytes is 8388608: expected at least 67108864 with the role control']);
	t.same(problemsOf({roles: 'entry', maxBufferedBytes: '1048576'}), []);
	t.same(problemsOf({headTimeoutMs: '2000', requestTimeoutMs: '1000'}), ['--head-timeout-ms is 2000: expected at most --request-timeout-ms (1000)']);
});
