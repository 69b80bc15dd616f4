import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import t from 'tap';
import {createEndpointRun, createEndpointRunner} from '@bitternpaddle/daemon';

/** How an answer ends: with its connection, with the endpoint's process as well, or by a reset behind its last byte. */
type End = 'close' | 'exit' | 'reset';

/** An endpoint whose answers have no length. */
const createEndpoint = async (end: End): Promise<{readonly address: string; close(): void}> => {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			if (end === 'exit') {
				server.close();
			}

			socket.write('HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\na part', () => {
				if (end === 'reset') {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			});
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
t.test('an answer without a length is complete only if its endpoint closes the connection and still listens', async t => {
	for (const end of ['close', 'exit', 'reset'] as const) {
		const endpoint = await createEndpoint(end);
		const runOnEndpoint = createEndpointRunner({
			endpointAddress: endpoint.address, maxReadAheadBytes: 65_536, loaded: () => null, isStillLoaded: async () => true,
		});
		const run = createEndpointRun({
			attemptId: 'a', requestId: 'r', isRepeatable: false, deadlineAtMs: performance.now() + 5000, windowBytes: 65_536, nowMs: performance.now(),
		});
		await runOnEndpoint(run, {
			method: 'POST', path: '/', headers: {}, body: Buffer.from('hello'), adapter: null,
		});
		t.equal(run.marker !== null, end === 'close', end);
		t.match(run.failure, end === 'close' ? null : {type: 'mayHaveRun', ...(end === 'exit' && {hasEndpointEnded: true})}, end);
		endpoint.close();
	}
});
