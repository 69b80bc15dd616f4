import net, {type AddressInfo} from 'node:net';
import {parseAddress} from '@bitternpaddle/transport';
import type {Test} from 'tap';

export type HoldingProxyOptions = {
	readonly target: string;
	/** Matches the request to hold, by its text. */
	readonly pattern: RegExp;
	/** `request`: the request does not reach the target. `answer`: it does, but the response does not come back. */
	readonly hold: 'request' | 'answer';
};

/** A TCP proxy that forwards everything until a matching request, at which it holds the connection, so that a test can stop at an exact step. */
export type HoldingProxy = {
	readonly address: string;
	/** Resolves once a request or its response is held. */
	readonly caught: Promise<void>;
	/** Stops holding; what was held arrives late, even if its sender has disconnected. */
	release(): void;
};

export const createHoldingProxy = async (t: Test, {target, pattern, hold}: HoldingProxyOptions): Promise<HoldingProxy> => {
	const sockets = new Set<net.Socket>();
	const held: Array<() => void> = [];
	let isHolding = true;
	let markCaught!: () => void;
	const caught = new Promise<void>(resolve => {
		markCaught = resolve;
	});

	const server = net.createServer(client => {
		const {host, port} = parseAddress(target);
		const upstream = net.connect({host, port});
		let isCaught = false;
		const forward = (direction: 'request' | 'answer', action: () => void): void => {
			if (isHolding && isCaught && direction === hold) {
				held.push(action);
				markCaught();
			} else {
				action();
			}
		};

		for (const socket of [client, upstream]) {
			sockets.add(socket);
			// Followed by `close`, whose handler forwards the end of the connection.
			socket.on('error', () => undefined);
		}

		client.on('data', (data: Uint8Array) => {
			isCaught ||= isHolding && pattern.test(new TextDecoder().decode(data));
			forward('request', () => {
				upstream.write(data);
			});
		});
		client.on('close', () => {
			forward('request', () => {
				upstream.end();
			});
		});
		upstream.on('data', (data: Uint8Array) => {
			forward('answer', () => {
				client.write(data);
			});
		});
		upstream.on('close', () => {
			forward('answer', () => {
				client.end();
			});
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		caught,
		release() {
			isHolding = false;
			for (const action of held.splice(0)) {
				action();
			}
		},
	};
};
