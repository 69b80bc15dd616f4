import type {Duplex} from 'node:stream';
import {refuseSocket} from './overload.js';

export type ConnectionLimitOptions = {
	readonly maxConnections: number;
	/** Ends a connection whose request is only half sent; `false` if there is none. */
	endUnfinished(reason: string): boolean;
};

/** Keeps the number of open connections bounded. */
export type ConnectionLimit = {
	/** Takes a new connection or refuses it. */
	open(socket: Duplex): void;
	/** A request has arrived; `false` if its connection was refused before, and the request must not run. */
	begin(socket: Duplex): boolean;
	/** A request's answer has ended. */
	end(socket: Duplex): void;
	openCount(): number;
};

/** Refused connections that may still be read until their sender has seen the answer; more are cut. */
const maxClosing = 256;
const closingMs = 1000;

/**
 * When all places are taken, the connection that has been without a request
 * for the longest makes way, then one whose request is only half sent. Without
 * this, idle connections would keep every caller out until they time out. Both
 * are told that nothing ran, which holds for whatever they are just sending.
 * Connections with a whole request are never touched.
 */
export const createConnectionLimit = ({maxConnections, endUnfinished}: ConnectionLimitOptions): ConnectionLimit => {
	const reason = `all ${maxConnections} connections are taken`;
	const running = new Map<Duplex, number>();
	const idle = new Set<Duplex>();
	const closing = new Set<Duplex>();
	let count = 0;

	const refuse = (socket: Duplex): void => {
		if (closing.size >= maxClosing) {
			socket.destroy();
			return;
		}

		closing.add(socket);
		const timer = setTimeout(() => {
			socket.destroy();
		}, closingMs);
		socket.once('close', () => {
			clearTimeout(timer);
			closing.delete(socket);
		});
		refuseSocket(socket, reason);
	};

	const forget = (socket: Duplex): void => {
		if (running.delete(socket) || idle.delete(socket)) {
			count--;
		}
	};

	/** Whether there is a place for one more connection. */
	const makeRoom = (): boolean => {
		if (count < maxConnections) {
			return true;
		}

		const [longestIdle] = idle;
		if (longestIdle !== undefined) {
			forget(longestIdle);
			refuse(longestIdle);
			return true;
		}

		// Its connection closes behind the answer; until then there is one more than the limit.
		return endUnfinished(reason);
	};

	return {
		open(socket) {
			if (!makeRoom()) {
				refuse(socket);
				return;
			}

			count++;
			idle.add(socket);
			socket.once('close', () => {
				forget(socket);
			});
		},
		begin(socket) {
			if (!idle.delete(socket) && !running.has(socket)) {
				return false;
			}

			running.set(socket, (running.get(socket) ?? 0) + 1);
			return true;
		},
		end(socket) {
			const left = (running.get(socket) ?? 0) - 1;
			if (left > 0) {
				running.set(socket, left);
			} else if (running.delete(socket)) {
				idle.add(socket);
			}
		},
		openCount: () => count,
	};
};
