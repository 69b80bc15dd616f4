import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import {
	createEndpointConnections, sendAttempt, type AttemptResult, type HeaderNames,
} from '@bitternpaddle/gateway';

const names: HeaderNames = {
	requestId: 'x-id', deadlineMs: 'x-deadline', expectedEndpoint: 'x-expect', expectedVersion: 'x-version', team: 'x-team', notRun: 'x-not-run', signature: 'x-signature',
	urgency: 'x-urgency', load: 'x-load', lastEventId: 'last-event-id',
};

type Respond = (socket: Socket, request: string) => void;

/** An endpoint that answers each request as `respond` does, byte by byte. */
const listen = async (t: Test, respond: Respond): Promise<{address: string; connections: () => number}> => {
	let connections = 0;
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		connections++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', data => {
			respond(socket, data.toString());
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections: () => connections};
};

const idOf = (request: string): string => /x-id: (?<id>\S+)/iv.exec(request)!.groups!.id!;

const answer = (id: string, body: string, head = ''): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\n${head}content-length: ${body.length}\r\n\r\n${body}`;

const create = (t: Test) => {
	const connections = createEndpointConnections();
	t.teardown(connections.close);
	return async (address: string, requestId: string, options: {stallMs?: number | null; signal?: AbortSignal; isDelicate?: boolean} = {}): Promise<AttemptResult> => sendAttempt({
		connections, headerNames: names, address, method: 'GET', path: '/', headers: {'x-id': requestId}, requestId, body: null, isDelicate: false, limits: {
			firstByteMs: options.stallMs ?? null, longestFirstByteMs: options.stallMs ?? null, pauseMs: null, isReported: () => false,
		}, beginWithinMs: null,
		signal: new AbortController().signal, onHead: () => undefined, onFirstByte: () => undefined, onEvents: () => undefined, ...(options.signal !== undefined && {signal: options.signal}),
	});
};

// An endpoint sends a second answer behind the first, on a connection that is then
// idle. The next request on it would be given that answer as its own.
t.test('bytes on an idle connection end it', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.write(answer(idOf(request), 'first'));
		setTimeout(() => {
			socket.write(answer('first', 'again'));
		}, 20);
	});
	const send = create(t);
	t.match(await send(endpoint.address, 'one'), {type: 'answered', body: Buffer.from('first')});
	await new Promise(resolve => {
		setTimeout(resolve, 80);
	});
	t.match(await send(endpoint.address, 'two'), {type: 'answered', body: Buffer.from('first')});
	t.equal(endpoint.connections(), 2);
});

t.test('a connection is used again', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.write(answer(idOf(request), 'whole'));
	});
	const send = create(t);
	for (const id of ['one', 'two', 'three']) {
		t.match(await send(endpoint.address, id), {type: 'answered'});
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}

	t.equal(endpoint.connections(), 1);
});

// An answer to another request arrives where this one's is due. It must not be
// passed on; whether this request ran is not known.
t.test('an answer to another request is not taken', async t => {
	const endpoint = await listen(t, socket => {
		socket.write(answer('other', 'not yours'));
	});
	t.match(await create(t)(endpoint.address, 'mine'), {type: 'broken', reason: /request other/v});
});

t.test('an answer that ends early is not whole', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.end(answer(idOf(request), 'whole').slice(0, -2));
	});
	t.match(await create(t)(endpoint.address, 'one'), {type: 'broken'});
});

t.test('an answer without a length ends with its connection, and is not whole if that is reset', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(request)}\r\nx-signature: s\r\nconnection: close\r\n\r\nbody`);
		setTimeout(() => {
			if (idOf(request) === 'reset') {
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		}, 20);
	});
	const send = create(t);
	t.match(await send(endpoint.address, 'ended'), {type: 'answered', body: Buffer.from('body')});
	t.match(await send(endpoint.address, 'reset'), {type: 'broken'});
});

t.test('garbage behind a whole answer does not spoil it', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.write(`${answer(idOf(request), 'whole')}@@garbage@@`);
	});
	t.match(await create(t)(endpoint.address, 'one'), {type: 'answered', body: Buffer.from('whole')});
});

t.test('an endpoint\'s word that it did not run a request is told from a failure', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.write(`HTTP/1.1 503 Full\r\nx-id: ${idOf(request)}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n`);
	});
	t.match(await create(t)(endpoint.address, 'one'), {type: 'refused', head: {status: 503}});
});

t.test('a connection that never came about proves that nothing was sent', async t => {
	const endpoint = await listen(t, () => undefined);
	const {address} = endpoint;
	const closed = createServer();
	await new Promise<void>(resolve => {
		closed.listen(0, '127.0.0.1', resolve);
	});
	const {port} = closed.address() as AddressInfo;
	await new Promise(resolve => {
		closed.close(resolve);
	});
	t.match(await create(t)(`127.0.0.1:${port}`, 'one'), {type: 'unsent'});
	t.match(await create(t)(address, 'two', {stallMs: 60}), {type: 'broken', reason: /silent/v}, 'silence after it was sent proves nothing');
});

// A caller leaves while its request runs. The connection to the endpoint must be
// closed at once, which stops the work.
t.test('an attempt that is aborted closes its connection', async t => {
	let isClosed = false;
	const endpoint = await listen(t, socket => {
		socket.on('close', () => {
			isClosed = true;
		});
	});
	const ended = new AbortController();
	const sent = create(t)(endpoint.address, 'one', {signal: ended.signal});
	await new Promise(resolve => {
		setTimeout(resolve, 40);
	});
	ended.abort();
	t.match(await sent, {type: 'aborted'});
	await new Promise(resolve => {
		setTimeout(resolve, 40);
	});
	t.ok(isClosed);
});
