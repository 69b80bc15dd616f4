import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {Duplex} from 'node:stream';
import {errorResponseOf, verdictHeader} from '@bitternpaddle/protocol';
import {notRun} from '@bitternpaddle/state';
import {defaultDiscardLimits, discardBody} from './discard-body.js';

/** Limits on the resources that a server spends on its callers. */
export type ServerLimits = {
	/** Maximum number of open connections. @default 8192 */
	readonly maxConnections?: number;
	/** Maximum memory of the heads and bodies of all requests, in bytes; they count from their arrival to the end of the response. @default 134217728 */
	readonly maxBufferedBytes?: number;
	/** Maximum number of requests without a complete response, on all connections. @default 4096 */
	readonly maxRequests?: number;
	/** Maximum total bytes of responses that wait for their callers to read. @default 134217728 */
	readonly maxUnreadBytes?: number;
	/** Maximum number of requests on one connection that have no complete response yet. @default 128 */
	readonly maxPipelinedRequests?: number;
	/** Maximum number of bodies in very small parts that are read at the same time. @default 8 */
	readonly maxFragmentedBodies?: number;
	/** Maximum size of a request's head, in bytes. @default 16384 */
	readonly maxHeadBytes?: number;
	/** How long a sender may take to send the headers of a request. @default 10000 */
	readonly headersTimeoutMs?: number;
	/** How long a sender may take to send a complete request. @default 60000 */
	readonly requestTimeoutMs?: number;
	/** How long a caller may leave its response unread. @default 60000 */
	readonly unreadTimeoutMs?: number;
};

/** A limit that was met. */
export type LimitName = 'connections' | 'requests' | 'requestBytes' | 'unreadBytes' | 'runningRequests' | 'pipelinedRequests' | 'fragmentedBodies' | 'discardedBody';

/** Called when a limit is met; `remoteAddress` is the IP address of the caller that was refused. */
export type OnLimit = (limit: LimitName, remoteAddress: string | undefined) => void;

/** Thrown to the reader of a request body after the request was refused; the sender has already got its response. */
export class OverloadError extends Error {
	override readonly name = 'OverloadError';
}

/**
 * Sends a final response to a request that may not have arrived completely, and closes its
 * connection once the sender had the time to see it.
 */
export const endAndClose = (request: http.IncomingMessage, response: http.ServerResponse, status: number, text: string, headers: http.OutgoingHttpHeaders): void => {
	response.writeHead(status, {
		...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), connection: 'close',
	});
	response.write(text);
	discardBody(request, defaultDiscardLimits, () => {
		response.end();
	});
};

/** Refuses a request whose body has not been read completely, so that it cannot have run. */
export const refuseRequest = (request: http.IncomingMessage, response: http.ServerResponse, reason: string): void => {
	const {status, headers, body} = errorResponseOf(notRun(reason), null);
	endAndClose(request, response, status, JSON.stringify(body), {...headers, [verdictHeader]: 'notRun'});
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
