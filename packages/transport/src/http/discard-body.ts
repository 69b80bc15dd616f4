import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {recordAllocatedBytes} from './collect-garbage.js';
import {isFragmented} from './request-budget.js';

export type DiscardLimits = {
	/** Bytes on the wire. */
	readonly maxBytes: number;
	readonly maxMs: number;
};

/** Bounds on what is read of a body that is not used, so that its sender sees the answer. */
export const defaultDiscardLimits: DiscardLimits = {maxBytes: 1_048_576, maxMs: 1000};

/**
 * Reads and discards the rest of a body, and calls `onEnd` once with whether it has arrived
 * completely. Closing a connection with unread data resets it, and the sender would lose
 * the answer; without bounds, a body that never ends would keep the process busy.
 */
export const discardBody = (request: http.IncomingMessage, {maxBytes, maxMs}: DiscardLimits, onEnd: (isComplete: boolean) => void): void => {
	const {socket} = request;
	const startBytes = socket.bytesRead;
	let parts = 0;
	let partBytes = 0;
	const finish = (): void => {
		clearTimeout(timer);
		request.off('data', count);
		request.off('end', finish);
		request.off('close', finish);
		onEnd(request.complete);
	};

	const count = (part: Buffer): void => {
		recordAllocatedBytes(part.length);
		parts++;
		partBytes += part.length;
		if (socket.bytesRead - startBytes > maxBytes || isFragmented(parts, partBytes)) {
			finish();
		}
	};

	const timer = setTimeout(finish, maxMs);
	if (request.complete || request.destroyed) {
		finish();
		return;
	}

	request.on('data', count);
	request.on('end', finish);
	request.on('close', finish);
	request.resume();
};
