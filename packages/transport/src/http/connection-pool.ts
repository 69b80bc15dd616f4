import http from 'node:http';
import type {Socket} from 'node:net';
import type {Address} from './address.js';

export type PoolOptions = {
	/** A connection older than this is closed instead of reused. @default 60000 */
	readonly maxAgeMs?: number;
	/** Shorter than the server's keep-alive timeout, so that the client closes idle connections first. @default 30000 */
	readonly idleMs?: number;
	/** Idle connections kept for each address. @default 256 */
	readonly maxIdle?: number;
};

/**
 * Creates a pool of keep-alive connections with a maximum age. A middlebox
 * between two hosts can drop its state of an idle connection permanently; the
 * maximum age bounds how long the pool reuses such a connection.
 *
 * Data on an idle connection belongs to no request and closes the connection:
 * otherwise it would be taken for the response to the next request.
 */
export const createPool = ({maxAgeMs = 60_000, idleMs = 30_000, maxIdle = 256}: PoolOptions = {}): http.Agent => {
	const pool = new http.Agent({keepAlive: true, maxFreeSockets: maxIdle, timeout: idleMs});
	const firstFreeAtMs = new WeakMap<Socket, number>();
	// Runs before Node's own listener, which discards a connection that is no longer writable.
	pool.prependListener('free', (socket: Socket) => {
		const nowMs = performance.now();
		const freedAtMs = firstFreeAtMs.get(socket) ?? nowMs;
		firstFreeAtMs.set(socket, freedAtMs);
		if (nowMs - freedAtMs > maxAgeMs) {
			socket.destroy();
		}
	});
	// Node's agent has no option for this; it calls `reuseSocket` when it reuses a connection.
	const reuse = pool.reuseSocket.bind(pool);
	pool.reuseSocket = (socket, request) => {
		socket.off('data', destroySocket);
		reuse(socket, request);
	};

	pool.on('free', (socket: Socket) => {
		idleSinceMs.set(socket, performance.now());
		socket.on('data', destroySocket);
	});
	return pool;
};

function destroySocket(this: Socket): void {
	this.destroy();
}

const idleSinceMs = new WeakMap<Socket, number>();

/**
 * Closes connections to an address that have been idle for longer than
 * `maxIdleMs`. The server may be about to close them, and a request that must
 * not be repeated would be lost without knowing whether it ran.
 */
export const closeStaleConnections = (pool: http.Agent, {host, port}: Address, maxIdleMs: number): void => {
	const nowMs = performance.now();
	for (const socket of pool.freeSockets[pool.getName({host, port})] ?? []) {
		if (nowMs - (idleSinceMs.get(socket) ?? 0) > maxIdleMs) {
			socket.destroy();
		}
	}
};

/** Closes the idle connections to an address after one of them stopped responding: the others may have been dropped as well. */
export const closeIdleConnections = (pool: http.Agent, {host, port}: Address): void => {
	for (const socket of pool.freeSockets[pool.getName({host, port})] ?? []) {
		socket.destroy();
	}
};
