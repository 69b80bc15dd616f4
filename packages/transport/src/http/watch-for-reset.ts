import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/**
 * Watches a connection whose end tells the end of an answer. A reset that is read
 * together with the last data is reported as an ordinary end, but writing to the
 * connection fails, also if there is nothing to write. The returned function tells, once
 * the connection has ended, whether the other side reset it.
 */
export const watchForReset = (socket: Socket): (() => Promise<boolean>) => {
	let outcome: Promise<boolean> = Promise.resolve(false);
	// Before the listeners of Node.js, which close this side of the connection.
	socket.prependOnceListener('end', () => {
		outcome = new Promise(resolve => {
			socket.write(Buffer.alloc(0), error => {
				resolve(error !== null && error !== undefined);
			});
		});
	});
	return async () => outcome;
};
