import net, {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {parseAddress} from '@bitternpaddle/transport';

/** How a relay handles the data of one direction. */
export type RelayMode
	= | 'open'
	/** Data is held and arrives late, as through a suspended process or a link that recovers. */
		| 'held'
	/** Data is lost without an error at either end. */
		| 'dropped';

export type RelayModes = {readonly forward: RelayMode; readonly backward: RelayMode};

/** A TCP relay on loopback that simulates a network link and its failures. */
export type Relay = {
	/** `ip:port` to connect to in place of the target. */
	readonly address: string;
	/** Sets the target of new connections, for a target that restarts on another port. */
	setTarget(address: string): void;
	/** Applies to open and new connections. Connections that have lost data are closed when the mode changes. */
	setModes(modes: RelayModes): void;
	/** The open connections permanently drop all data; new ones work. */
	silenceOpenConnections(): void;
	/** The open connections hold all data until `setModes` is called, and then deliver it late; new ones work. */
	holdOpenConnections(): void;
	/** Closes all connections that have lost data, as the timeouts of their peers would. */
	endSilentConnections(): void;
	/** Refuses new connections and closes the open ones, as a host whose process has crashed. */
	goDown(): void;
	/** Refuses new connections, as after a planned stop; data that was already sent still arrives. */
	stopListening(): void;
	/** Listens on the same address again. */
	comeUp(): Promise<void>;
	close(): void;
};

export type RelayOptions = {
	/** Without it, connections are closed until `setTarget` is called. */
	readonly target?: string;
	/** One-way latency. @default 0 */
	readonly latencyMs?: number;
};

type Direction = keyof RelayModes;

type ConnectionPair = {
	readonly client: net.Socket;
	readonly server: net.Socket;
	/** The actions that were held in each direction, in order. */
	readonly held: Record<Direction, Array<() => void>>;
	modes: RelayModes;
	isSilenced: boolean;
	hasLostBytes: boolean;
};

const openModes: RelayModes = {forward: 'open', backward: 'open'};

export const createRelay = async ({target, latencyMs = 0}: RelayOptions = {}): Promise<Relay> => {
	const pairs = new Set<ConnectionPair>();
	let currentTarget = target;
	let modes = openModes;

	const closePair = (pair: ConnectionPair): void => {
		pairs.delete(pair);
		pair.client.destroy();
		pair.server.destroy();
	};

	const relayAction = (pair: ConnectionPair, direction: Direction, action: () => void): void => {
		if (latencyMs === 0) {
			relayActionNow(pair, direction, action);
			return;
		}

		// Timers of one length fire in the order in which they were set.
		setTimeout(() => {
			relayActionNow(pair, direction, action);
		}, latencyMs);
	};

	const relayActionNow = (pair: ConnectionPair, direction: Direction, action: () => void): void => {
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
		const upstream = net.connect({host, port});
		const pair: ConnectionPair = {
			client, server: upstream, modes, isSilenced: false, hasLostBytes: false, held: {forward: [], backward: []},
		};
		pairs.add(pair);
		client.setNoDelay(true);
		upstream.setNoDelay(true);
		client.on('data', (data: Uint8Array) => {
			relayAction(pair, 'forward', () => {
				upstream.write(data);
			});
		});
		upstream.on('data', (data: Uint8Array) => {
			relayAction(pair, 'backward', () => {
				client.write(data);
			});
		});
		client.on('end', () => {
			relayAction(pair, 'forward', () => {
				upstream.end();
			});
		});
		upstream.on('end', () => {
			relayAction(pair, 'backward', () => {
				client.end();
			});
		});
		client.on('close', () => {
			relayAction(pair, 'forward', () => {
				pairs.delete(pair);
				upstream.destroySoon();
			});
		});
		upstream.on('close', () => {
			relayAction(pair, 'backward', () => {
				pairs.delete(pair);
				client.destroySoon();
			});
		});
		for (const socket of [client, upstream]) {
			// Followed by `close`, whose handler forwards the end of the connection.
			socket.on('error', () => undefined);
		}
	});
	await listen(server, 0);
	const {address, port} = server.address() as AddressInfo;

	const goDown = (): void => {
		server.close();
		for (const pair of pairs) {
			closePair(pair);
		}
	};

	const changeModes = (pair: ConnectionPair, changed: RelayModes): void => {
		pair.modes = changed;
		if (pair.hasLostBytes && !pair.isSilenced) {
			closePair(pair);
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
					closePair(pair);
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

/** A port that was released may have been taken for an outgoing connection of another process. */
const portRetryMs = 20;

const listen = async (server: net.Server, port: number): Promise<void> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(port, '127.0.0.1', () => {
		server.off('error', reject);
		resolve();
	});
});
