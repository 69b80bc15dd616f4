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

/** Starts an endpoint whose raw responses are written by `respond`. */
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

type SendOptions = {readonly stallMs?: number | null; readonly isFailedOver?: boolean; readonly signal?: AbortSignal; readonly requiresFreshConnection?: boolean; exclusion?(): 'evacuated' | null};

const create = (t: Test) => {
	const connections = createEndpointConnections();
	t.teardown(connections.close);
	return async (address: string, requestId: string, options: SendOptions = {}): Promise<AttemptResult> => sendAttempt({
		connections, headerNames: names, address, method: 'GET', path: '/', headers: {'x-id': requestId}, requestId, body: null, requiresFreshConnection: false, limits: {
			firstByteMs: options.stallMs ?? null, maxFirstByteMs: options.stallMs ?? null, pauseMs: null, isReported: () => false, failOver: async () => options.isFailedOver ?? true,
		}, beginWithinMs: null, exclusion: options.exclusion ?? (() => null),
		signal: new AbortController().signal, onHead: () => undefined, onFirstByte: () => undefined, onEvents: () => undefined, ...(options.signal !== undefined && {signal: options.signal}),
	});
};

// Guards against an answer being attributed to the wrong request: an endpoint sends a
// second answer on a connection that is idle, and the next request on it would get it.
t.test('unsolicited bytes on an idle connection close it', async t => {
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

t.test('a connection is reused', async t => {
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

// Guards against forwarding the answer to another request that arrives in place of this
// request's answer; whether this request ran is unknown.
t.test('an answer to another request is rejected', async t => {
	const endpoint = await listen(t, socket => {
		socket.write(answer('other', 'not yours'));
	});
	t.match(await create(t)(endpoint.address, 'mine'), {type: 'broken', reason: /request other/v});
});

t.test('a truncated answer is incomplete', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.end(answer(idOf(request), 'whole').slice(0, -2));
	});
	t.match(await create(t)(endpoint.address, 'one'), {type: 'broken'});
});

t.test('an answer without a length ends with its connection, and is incomplete if the connection is reset', async t => {
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

// Guards against taking a reset for the end: read together with the last data, it is reported as an ordinary end.
t.test('an answer without a length is incomplete if its connection is reset together with the last data', async t => {
	for (const type of ['text/event-stream', 'text/plain']) {
		const endpoint = await listen(t, (socket, request) => {
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(request)}\r\nx-signature: s\r\ncontent-type: ${type}\r\nconnection: close\r\n\r\nid: 1\ndata: a\n\n`);
			setTimeout(() => {
				socket.write('id: 2\ndata: b\n\n', () => {
					socket.resetAndDestroy();
				});
			}, 30);
		});
		t.match(await create(t)(endpoint.address, 'one'), {type: 'broken', cause: 'disconnected'}, type);
	}
});

t.test('garbage after a complete answer is ignored', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.write(`${answer(idOf(request), 'whole')}@@garbage@@`);
	});
	t.match(await create(t)(endpoint.address, 'one'), {type: 'answered', body: Buffer.from('whole')});
});

t.test('a statement of the endpoint that it did not run a request is distinguished from a failure', async t => {
	const endpoint = await listen(t, (socket, request) => {
		socket.write(`HTTP/1.1 503 Full\r\nx-id: ${idOf(request)}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n`);
	});
	t.match(await create(t)(endpoint.address, 'one'), {type: 'refused', head: {status: 503}});
});

t.test('a failed connection attempt proves that nothing was sent', async t => {
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
	t.match(await create(t)(address, 'two', {stallMs: 60}), {type: 'broken', reason: /silent/v}, 'a timeout after the request was sent proves nothing');
});

// Guards against running a request for a caller that has disconnected: the connection to
// the endpoint must be closed at once, which makes the endpoint abort the request.
t.test('an aborted attempt closes its connection', async t => {
	let isClosed = false;
	const endpoint = await listen(t, socket => {
		socket.on('close', () => {
			isClosed = true;
		});
	});
	const caller = new AbortController();
	const sent = create(t)(endpoint.address, 'one', {signal: caller.signal});
	await new Promise(resolve => {
		setTimeout(resolve, 40);
	});
	caller.abort();
	t.match(await sent, {type: 'aborted'});
	await new Promise(resolve => {
		setTimeout(resolve, 40);
	});
	t.ok(isClosed);
});

// Guards against giving up an attempt whose request no other endpoint has begun to answer.
t.test('an attempt at a silent endpoint continues until another endpoint has taken over', async t => {
	const {address} = await listen(t, (socket, request) => {
		setTimeout(() => {
			if (!socket.destroyed) {
				socket.write(answer(idOf(request), 'late'));
			}
		}, 400);
	});
	const send = create(t);
	t.match(await send(address, 'a', {stallMs: 50}), {type: 'broken', cause: 'silent'});
	t.match(await send(address, 'b', {stallMs: 50, isFailedOver: false}), {type: 'answered'});
});

// Guards against sending a request into a zone whose evacuation came into force after the endpoint was selected,
// while the connection was established or waited for.
t.test('an attempt that is excluded when its connection is ready sends nothing', async t => {
	const requests: string[] = [];
	const endpoint = await listen(t, (socket, request) => {
		requests.push(idOf(request));
		socket.write(answer(idOf(request), 'x'));
	});
	const send = create(t);
	t.same(await send(endpoint.address, 'a', {exclusion: () => 'evacuated'}), {type: 'excluded', exclusion: 'evacuated'}, 'on a new connection');
	t.match(await send(endpoint.address, 'b'), {type: 'answered'});
	const connections = endpoint.connections();
	t.match(await send(endpoint.address, 'c', {exclusion: () => 'evacuated'}), {type: 'excluded'}, 'on a connection that is reused');
	t.equal(endpoint.connections(), connections);
	t.match(await send(endpoint.address, 'd'), {type: 'answered'});
	t.same(requests, ['b', 'd']);
});
