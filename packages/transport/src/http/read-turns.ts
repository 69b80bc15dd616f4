import http from 'node:http';

/** A request whose connection can stop delivering for a moment, although its body is being read. */
export class PausableMessage extends http.IncomingMessage {
	isWaitingForTurn = false;

	/** Node.js calls this once for each part, and starts reading from the connection again. */
	override _read(sizeBytes: number): void {
		if (!this.isWaitingForTurn) {
			super._read(sizeBytes);
		}
	}
}

/** Lets connections with bodies in very small parts deliver one after the other, one read in each turn of the event loop. */
export type ReadTurns = {
	/** Ends the turn of a request's connection; it continues in a later one. */
	endTurn(request: http.IncomingMessage): void;
};

/**
 * A read of 64 KiB in chunks of 1 byte has 10,000 of them, and the event loop reads up to
 * 32 times from one connection: without turns, a few such bodies keep it busy for seconds.
 */
export const createReadTurns = (): ReadTurns => {
	const waiting = new Set<PausableMessage>();
	let isScheduled = false;

	const schedule = (): void => {
		if (!isScheduled && waiting.size > 0) {
			isScheduled = true;
			setImmediate(beginTurn);
		}
	};

	const beginTurn = (): void => {
		isScheduled = false;
		for (const request of waiting) {
			waiting.delete(request);
			request.isWaitingForTurn = false;
			if (!request.socket.destroyed) {
				request.socket.resume();
				break;
			}
		}

		schedule();
	};

	return {
		endTurn(request) {
			if (request instanceof PausableMessage && !request.isWaitingForTurn) {
				request.isWaitingForTurn = true;
				waiting.add(request);
				request.socket.pause();
				schedule();
			}
		},
	};
};
