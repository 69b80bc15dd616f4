import net, {type AddressInfo} from 'node:net';
import {parseAddress} from '@bitternpaddle/transport';
import type {Test} from 'tap';

export type HoldingProxyOptions = {
	readonly target: string;
	/** The request that is caught, by its text. */
	readonly pattern: RegExp;
	/** `request`: it does not reach the target. `answer`: it does, and its answer does not come back. */
	readonly hold: 'request' | 'answer';
};

/** A TCP proxy that lets everything pass but one kind of request, at which it holds the connection: so a test stops at an exact step. */
export type HoldingProxy = {
	readonly address: string;
	/** Resolves once a request is held, or its answer. */
	readonly caught: Promise<void>;
	/** Nothing is held from now on; a request that was held arrives late, also if its sender is gone. */
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
		const pass = (direction: 'request' | 'answer', action: () => void): void => {
			if (isHolding && isCaught && direction === hold) {
				held.push(action);
				markCaught();
			} else {
				action();
			}
		};

		for (const socket of [client, upstream]) {
			sockets.add(socket);
			// Followed by `close`, which passes the end on.
			socket.on('error', () => undefined);
		}

		client.on('data', (data: Uint8Array) => {
			isCaught ||= isHolding && pattern.test(new TextDecoder().decode(data));
			pass('request', () => {
				upstream.write(data);
			});
		});
		client.on('close', () => {
			pass('request', () => {
				upstream.end();
			});
		});
		upstream.on('data', (data: Uint8Array) => {
			pass('answer', () => {
				client.write(data);
			});
		});
		upstream.on('close', () => {
			pass('answer', () => {
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
