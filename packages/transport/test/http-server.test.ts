import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {createHttpServer, parseAddress} from '@bitternpaddle/transport';

/** More than the kernel buffers of both ends of a connection take. */
const largeBytes = 14 * 1024 * 1024;

const startServer = async (t: Test) => {
	const answered: string[] = [];
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			response.end(request.url === '/large' ? Buffer.alloc(largeBytes, 'a') : 'small');
			answered.push(request.url!);
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	const connect = async (): Promise<net.Socket> => {
		const socket = net.connect(parseAddress(server.address));
		socket.pause();
		t.teardown(() => {
			socket.destroy();
		});
		await new Promise<void>(resolve => {
			socket.once('connect', resolve);
		});
		return socket;
	};

	return {server, answered, connect};
};

const readToEnd = async (socket: net.Socket): Promise<Buffer> => {
	const parts: Buffer[] = [];
	for await (const part of socket) {
		parts.push(part as Buffer);
	}

	return Buffer.concat(parts);
};

const bodyLength = (received: Buffer): number => received.length - received.indexOf('\r\n\r\n') - 4;

const waitFor = async (isMet: () => boolean): Promise<void> => {
	while (!isMet()) {
		await delay(5);
	}
};

// Guards against closing a connection as idle while a part of its response still waits for the client to read.
t.test('closing a server does not cut a response that its client reads late', async t => {
	const {server, answered, connect} = await startServer(t);
	const client = await connect();
	client.write('GET /large HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitFor(() => answered.length === 1);
	const closed = server.close();
	await delay(300);
	t.equal(bodyLength(await readToEnd(client)), largeBytes);
	await closed;
});

// Guards against closing a connection on which a part of a request has arrived, and against waiting for one on which nothing has.
t.test('closing a server answers a request that is being received', async t => {
	const {server, answered, connect} = await startServer(t);
	const [idle, sending, later] = [await connect(), await connect(), await connect()];
	sending.write('GET /small HTTP/1.1\r\nho');
	later.write('GET /later HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitFor(() => answered.length === 1);
	const closed = server.close();
	t.equal((await readToEnd(idle)).length, 0, 'an idle connection is closed at once');
	await delay(100);
	sending.write('st: a\r\n\r\n');
	t.match((await readToEnd(sending)).toString(), /^HTTP\/1.1 200 [\s\S]*small$/v);
	await closed;
});
