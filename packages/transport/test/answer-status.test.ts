import {createServer, type AddressInfo, type Socket} from 'node:net';
import t, {type Test} from 'tap';
import {readBody, sendHttp, TransportError} from '@bitternpaddle/transport';

const serve = async (t: Test, answer: string): Promise<{address: string; connections: () => number}> => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(answer);
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
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections: () => sockets.length};
};

const withStatus = (status: string): string => `HTTP/1.1 ${status}\r\ncontent-length: 2\r\n\r\nok`;

// Guards against callers of the client that take a status for an answer which their own server cannot send, or wait for ever.
t.test('a status that ends no request is an error of the transport', async t => {
	const answers = {
		'000 None': /status 000/v, '099 Low': /status 099/v, '101 Switching Protocols': /status 101/v, '600 High': /status 600/v, '999 High': /status 999/v,
		'101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other': /protocol was switched/v,
	};
	for (const [status, message] of Object.entries(answers)) {
		const {address, connections} = await serve(t, withStatus(status));
		const error = await sendHttp({address, path: '/', idleTimeoutMs: 5000}).catch((error: unknown) => error);
		t.type(error, TransportError, status);
		t.match(error, {message, isUnsent: false});
		await sendHttp({address, path: '/', idleTimeoutMs: 5000}).catch(() => undefined);
		t.equal(connections(), 2, 'the connection is not used again');
	}
});

t.test('statuses that end a request are answers', async t => {
	for (const status of ['200 OK', '299 Other', '304 Not Modified', '404 Not Found', '599 Other', '102 Processing\r\n\r\nHTTP/1.1 200 OK']) {
		const {address} = await serve(t, withStatus(status));
		const response = await sendHttp({address, path: '/', idleTimeoutMs: 5000});
		t.equal(response.statusCode, status.startsWith('102') ? 200 : Number(status.slice(0, 3)));
		await readBody(response).catch(() => undefined);
	}
});
