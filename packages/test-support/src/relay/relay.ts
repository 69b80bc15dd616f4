import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {parseAddress} from '@bitternpaddle/transport';

/** What a relay does with the bytes of one direction. */
export type RelayMode
	= | 'open'
	/** Bytes wait and arrive late, as through a frozen process or a link that comes back. */
		| 'held'
	/** Bytes vanish; neither end learns of it. */
		| 'dropped';

export type RelayModes = {readonly forward: RelayMode; readonly backward: RelayMode};

/** A TCP relay on loopback that stands for a link, and fails like one. */
export type Relay = {
	/** `ip:port` that stands for the target. */
	readonly address: string;
	/** Where new connections go; for a target that comes back on another port. */
	setTarget(address: string): void;
	/** For open and new connections. Connections that have lost bytes end once the mode changes. */
	setModes(modes: RelayModes): void;
	/** The open connections go silent for good; new ones work. */
	silenceOpenConnections(): void;
	/** The open connections carry nothing until `setModes` is called, and then everything late; new ones work. */
	holdOpenConnections(): void;
	/** Ends all connections that have lost bytes, as their ends' own timeouts would. */
	endSilentConnections(): void;
	/** Refuses new connections and ends the open ones, as a host does whose process has died. */
	goDown(): void;
	/** Refuses new connections, as after a planned end; what was sent before still arrives. */
	stopListening(): void;
	/** Listens again on the same address. */
	comeUp(): Promise<void>;
	close(): void;
};

export type RelayOptions = {
	/** Without it connections are ended until `setTarget` is called. */
	readonly target?: string;
	/** One way. @default 0 */
	readonly latencyMs?: number;
};

type Direction = keyof RelayModes;

type Pair = {
	readonly client: net.Socket;
	readonly server: net.Socket;
	/** What happened while a direction was held, in order. */
	readonly held: Record<Direction, Array<() => void>>;
	modes: RelayModes;
	isSilenced: boolean;
	hasLostBytes: boolean;
};

const openModes: RelayModes = {forward: 'open', backward: 'open'};

export const createRelay = async ({target, latencyMs = 0}: RelayOptions = {}): Promise<Relay> => {
	const pairs = new Set<Pair>();
	let currentTarget = target;
	let modes = openModes;

	const end = (pair: Pair): void => {
		pairs.delete(pair);
		pair.client.destroy();
		pair.server.destroy();
	};

	const pass = (pair: Pair, direction: Direction, action: () => void): void => {
		if (latencyMs === 0) {
			passNow(pair, direction, action);
			return;
		}

		// Timers of one length fire in the order in which they were set.
		setTimeout(() => {
			passNow(pair, direction, action);
		}, latencyMs);
	};

	const passNow = (pair: Pair, direction: Direction, action: () => void): void => {
		const mode = pair.modes[direction];
		if (pair.isSilenced || mode === 'dropped') {
			pair.hasLostBytes = true;
		} else if (mode === 'held' || pair.held[direction].length > 0) {
			pair.held[direction].push(action);
		} else {
			action();
		}
	};

	const server = net.createServer(client => {
		if (currentTarget === undefined) {
			client.destroy();
			return;
		}

		const {host, port} = parseAddress(currentTarget);
		const outgoing = net.connect({host, port});
		const pair: Pair = {
			client, server: outgoing, modes, isSilenced: false, hasLostBytes: false, held: {forward: [], backward: []},
		};
		pairs.add(pair);
		client.setNoDelay(true);
		outgoing.setNoDelay(true);
		client.on('data', (data: Uint8Array) => {
			pass(pair, 'forward', () => {
				outgoing.write(data);
			});
		});
		outgoing.on('data', (data: Uint8Array) => {
			pass(pair, 'backward', () => {
				client.write(data);
			});
		});
		client.on('end', () => {
			pass(pair, 'forward', () => {
				outgoing.end();
			});
		});
		outgoing.on('end', () => {
			pass(pair, 'backward', () => {
				client.end();
			});
		});
		client.on('close', () => {
			pass(pair, 'forward', () => {
				pairs.delete(pair);
				outgoing.destroySoon();
			});
		});
		outgoing.on('close', () => {
			pass(pair, 'backward', () => {
				pairs.delete(pair);
				client.destroySoon();
			});
		});
		for (const socket of [client, outgoing]) {
			// Followed by `close`, which passes the end on.
			socket.on('error', () => undefined);
		}
	});
	await listen(server, 0);
	const {address, port} = server.address() as AddressInfo;

	const goDown = (): void => {
		server.close();
		for (const pair of pairs) {
			end(pair);
		}
	};

	const changeModes = (pair: Pair, changed: RelayModes): void => {
		pair.modes = changed;
		if (pair.hasLostBytes && !pair.isSilenced) {
			end(pair);
			return;
		}

		for (const direction of ['forward', 'backward'] as const) {
			if (changed[direction] !== 'held') {
				for (const action of pair.held[direction].splice(0)) {
					action();
				}
			}
		}
	};

	return {
		address: `${address}:${port}`,
		setTarget(next) {
			currentTarget = next;
		},
		setModes(changed) {
			modes = changed;
			for (const pair of pairs) {
				changeModes(pair, changed);
			}
		},
		silenceOpenConnections() {
			for (const pair of pairs) {
				pair.isSilenced = true;
			}
		},
		holdOpenConnections() {
			for (const pair of pairs) {
				pair.modes = {forward: 'held', backward: 'held'};
			}
		},
		endSilentConnections() {
			for (const pair of pairs) {
				if (pair.isSilenced || pair.hasLostBytes) {
					end(pair);
				}
			}
		},
		goDown,
		stopListening() {
			server.close();
		},
		async comeUp() {
			while (!server.listening) {
				await listen(server, port).catch(async () => delay(portRetryMs));
			}
		},
		close: goDown,
	};
};

/** A port that a process gave up may have been taken for somebody's outgoing connection. */
const portRetryMs = 20;

const listen = async (server: net.Server, port: number): Promise<void> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(port, '127.0.0.1', () => {
		server.off('error', reject);
		resolve();
	});
});
