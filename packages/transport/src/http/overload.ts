import type http from 'node:http';
import type {Duplex} from 'node:stream';
import {errorResponseOf, verdictHeader} from '@bitternpaddle/protocol';
import {notRun} from '@bitternpaddle/state';

/** Limits on the resources that a server spends on its callers. */
export type ServerLimits = {
	/** Maximum number of open connections. @default 8192 */
	readonly maxConnections?: number;
	/** Maximum total bytes of request bodies; a body counts from its arrival to the end of its response. @default 134217728 */
	readonly maxBufferedBytes?: number;
	/** How long a sender may take to send the headers of a request. @default 10000 */
	readonly headersTimeoutMs?: number;
	/** How long a sender may take to send a complete request. @default 60000 */
	readonly requestTimeoutMs?: number;
	/** How long a caller may leave its response unread. @default 60000 */
	readonly unreadTimeoutMs?: number;
};

/** Thrown to the reader of a request body after the request was refused; the sender has already got its response. */
export class OverloadError extends Error {
	override readonly name = 'OverloadError';
}

/** Refuses a request whose body has not been read completely, so that it cannot have run. */
export const refuseRequest = (response: http.ServerResponse, reason: string): void => {
	const {status, headers, body} = errorResponseOf(notRun(reason), null);
	const text = JSON.stringify(body);
	response.writeHead(status, {
		...headers, [verdictHeader]: 'notRun', 'content-type': 'application/json', 'content-length': text.length, connection: 'close',
	});
	response.end(text);
};

/**
 * Refuses a connection that carries no request. The response has no verdict
 * header: an entry that reconnects to resume reading an earlier response would
 * take it for the verdict on that response's request, which is still running.
 */
export const refuseSocket = (socket: Duplex, reason: string): void => {
	const {status, headers, body} = errorResponseOf(notRun(reason), null);
	const text = JSON.stringify(body);
	const lines = Object.entries({
		...headers, 'content-type': 'application/json', 'content-length': text.length, connection: 'close',
	}).map(([name, value]) => `${name}: ${value}`);
	socket.end([`HTTP/1.1 ${status} Service Unavailable`, ...lines, '', text].join('\r\n'));
};
