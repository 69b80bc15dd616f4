import type {Duplex} from 'node:stream';
import {refuseSocket} from './overload.js';

export type ConnectionLimitOptions = {
	readonly maxConnections: number;
	/** Closes a connection whose request was answered before its body arrived; `false` if there is none. */
	closeAnswered(): boolean;
	/** Ends a connection whose request has not completely arrived; `false` if there is none. */
	refuseIncomplete(reason: string): boolean;
	/** Called when a connection is refused or closed. @default ignored */
	readonly onRefused?: (socket: Duplex) => void;
};

/** Bounds the number of open connections. */
export type ConnectionLimit = {
	/** Accepts or refuses a new connection. */
	open(socket: Duplex): void;
	/** Records the start of a request; `false` if its connection was refused before, and the request must not run. */
	begin(socket: Duplex): boolean;
	/** Records the end of a request's response. */
	end(socket: Duplex): void;
	openCount(): number;
};

/** Refused connections that stay open until their sender has read the response, at most and as a share of the limit; further ones are destroyed at once. */
const maxClosingConnections = 256;
const closingShare = 1 / 4;
const closingTimeoutMs = 1000;

/**
 * At the limit, a new connection replaces the one that has been idle for the
 * longest, or else one whose request was answered or has not completely arrived. Without this,
 * idle connections would keep every caller out until they time out. The
 * replaced connection gets a "not run" response, which is true of any request
 * that its client is sending at that moment. Connections with a complete
 * request are never closed.
 */
export const createConnectionLimit = ({maxConnections, closeAnswered, refuseIncomplete, onRefused = () => undefined}: ConnectionLimitOptions): ConnectionLimit => {
	const reason = `the server has reached its limit of ${maxConnections} connections`;
	const maxClosing = Math.min(maxClosingConnections, Math.floor(maxConnections * closingShare));
	const running = new Map<Duplex, number>();
	const idle = new Set<Duplex>();
	const closing = new Set<Duplex>();
	let count = 0;

	const refuse = (socket: Duplex): void => {
		onRefused(socket);
		if (closing.size >= maxClosing) {
			socket.destroy();
			return;
		}

		closing.add(socket);
		const timer = setTimeout(() => {
			socket.destroy();
		}, closingTimeoutMs);
		socket.once('close', () => {
			clearTimeout(timer);
			closing.delete(socket);
		});
		refuseSocket(socket, reason);
	};

	const untrack = (socket: Duplex): void => {
		if (running.delete(socket) || idle.delete(socket)) {
			count--;
		}
	};

	/** Closes a connection if the limit is reached; returns whether one more can be accepted. */
	const ensureCapacity = (): boolean => {
		if (count < maxConnections) {
			return true;
		}

		const [longestIdle] = idle;
		if (longestIdle !== undefined) {
			untrack(longestIdle);
			refuse(longestIdle);
			return true;
		}

		// Its connection closes after the response; until then the limit is exceeded by one.
		return closeAnswered() || refuseIncomplete(reason);
	};

	return {
		open(socket) {
			if (!ensureCapacity()) {
				refuse(socket);
				return;
			}

			count++;
			idle.add(socket);
			socket.once('close', () => {
				untrack(socket);
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
			const remaining = (running.get(socket) ?? 0) - 1;
			if (remaining > 0) {
				running.set(socket, remaining);
			} else if (running.delete(socket)) {
				idle.add(socket);
			}
		},
		openCount: () => count,
	};
};
