import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import t from 'tap';
import {createEndpointRun, createEndpointRunner} from '@bitternpaddle/daemon';

/** An endpoint whose answers end with their connection, and that exits with the first one if `exits`. */
const createEndpoint = async (exits: boolean): Promise<{readonly address: string; close(): void}> => {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			if (exits) {
				server.close();
			}

			socket.end('HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\na part');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		close() {
			server.close();
		},
	};
};

// Guards against an end marker behind a part of an answer without a length, whose endpoint has exited.
t.test('an answer without a length is complete only if its endpoint still listens', async t => {
	for (const exits of [false, true]) {
		const endpoint = await createEndpoint(exits);
		const runOnEndpoint = createEndpointRunner({
			endpointAddress: endpoint.address, maxReadAheadBytes: 65_536, loaded: () => null, isStillLoaded: async () => true,
		});
		const run = createEndpointRun({
			attemptId: 'a', requestId: 'r', isRepeatable: false, deadlineAtMs: performance.now() + 5000, windowBytes: 65_536, nowMs: performance.now(),
		});
		await runOnEndpoint(run, {
			method: 'POST', path: '/', headers: {}, body: Buffer.from('hello'), adapter: null,
		});
		t.equal(run.marker !== null, !exits);
		t.match(run.failure, exits ? {type: 'mayHaveRun', hasEndpointEnded: true} : null);
		endpoint.close();
	}
});
