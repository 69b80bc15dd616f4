import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {parseAddress} from '@bitternpaddle/transport';

export type CountingProxy = {readonly address: string; bytes(): number; close(): void};

/** Relays connections to `target` and counts the bytes in both directions. */
export const createCountingProxy = async (target: string): Promise<CountingProxy> => {
	const {host, port} = parseAddress(target);
	const sockets = new Set<Socket>();
	let bytes = 0;
	const relay = (from: Socket, to: Socket): void => {
		sockets.add(from);
		from.on('data', (data: Uint8Array) => {
			bytes += data.length;
			to.write(data);
		});
		for (const event of ['close', 'error']) {
			from.on(event, () => {
				to.destroy();
			});
		}
	};

	const server = createServer(client => {
		const upstream = connect(port, host);
		relay(client, upstream);
		relay(upstream, client);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		bytes: () => bytes,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
