import type http from 'node:http';
import type {Duplex} from 'node:stream';
import {errorResponseOf, verdictHeader} from '@bitternpaddle/protocol';
import {notRun} from '@bitternpaddle/state';

/** What a server holds for its callers at most. */
export type ServerLimits = {
	/** Open connections. @default 8192 */
	readonly maxConnections?: number;
	/** Bytes of request bodies, from their arrival to the end of their answer. @default 134217728 */
	readonly maxBufferedBytes?: number;
	/** How long a sender may take over a request's head. @default 10000 */
	readonly headersTimeoutMs?: number;
	/** How long a sender may take over a whole request. @default 60000 */
	readonly requestTimeoutMs?: number;
	/** How long a caller may leave its answer unread. @default 60000 */
	readonly unreadTimeoutMs?: number;
};

/** Thrown to whoever reads a body that was given up; its sender has been answered. */
export class OverloadError extends Error {
	override readonly name = 'OverloadError';
}

/** Answers a request whose body was not read whole, so that it cannot have run. */
export const refuseRequest = (response: http.ServerResponse, reason: string): void => {
	const {status, headers, body} = errorResponseOf(notRun(reason), null);
	const text = JSON.stringify(body);
	response.writeHead(status, {
		...headers, [verdictHeader]: 'notRun', 'content-type': 'application/json', 'content-length': text.length, connection: 'close',
	});
	response.end(text);
};

/**
 * Answers on a connection that carries no request. It says nothing of verdicts
 * in a header: an entry that comes back to read on in an answer would take it
 * for the verdict on that answer's request, which runs.
 */
export const refuseSocket = (socket: Duplex, reason: string): void => {
	const {status, headers, body} = errorResponseOf(notRun(reason), null);
	const text = JSON.stringify(body);
	const lines = Object.entries({
		...headers, 'content-type': 'application/json', 'content-length': text.length, connection: 'close',
	}).map(([name, value]) => `${name}: ${value}`);
	socket.end([`HTTP/1.1 ${status} Service Unavailable`, ...lines, '', text].join('\r\n'));
};
