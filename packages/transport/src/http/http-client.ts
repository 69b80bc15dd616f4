import {Buffer} from 'node:buffer';
import http from 'node:http';
import {parseAddress} from './address.js';
import {listenForAnswer} from './answer-status.js';
import {closeIdleConnections, createPool} from './connection-pool.js';
import {readBody} from './read-body.js';
import {readLimits} from './read-limits.js';
import {timeoutSignal} from './timeout-signal.js';

/** A request that failed in transport, with what is known of whether the server received it. */
export class TransportError extends Error {
	override readonly name = 'TransportError';

	constructor(message: string, /** The connection was never established, so nothing was sent. */ readonly isUnsent: boolean) {
		super(message);
	}
}

export type HttpRequestOptions = {
	readonly address: string;
	readonly method?: string;
	readonly path: string;
	readonly headers?: http.OutgoingHttpHeaders;
	readonly body?: string | Uint8Array;
	/** The request fails if no data is received for this long. */
	readonly idleTimeoutMs: number;
	readonly signal?: AbortSignal;
	/** @default the shared keep-alive pool */
	readonly agent?: http.Agent | false;
};

const sharedAgent = createPool();

/** Sends one request; resolves with the response as soon as its headers have arrived. Rejects if its status is none that ends a request. */
export const sendHttp = async (options: HttpRequestOptions): Promise<http.IncomingMessage> => new Promise((resolve, reject) => {
	const {address, method = 'GET', path, headers = {}, body, idleTimeoutMs, signal, agent = sharedAgent} = options;
	const {host, port} = parseAddress(address);
	const data = typeof body === 'string' ? Buffer.from(body) : body;
	let isConnected = false;
	const request = http.request({
		host, port, method, path, agent, signal, timeout: idleTimeoutMs,
		headers: data === undefined ? headers : {...headers, 'content-length': data.length},
	});
	listenForAnswer(request, {
		onAnswer: resolve,
		onInvalid(reason) {
			reject(new TransportError(`no answer from ${address}: ${reason}`, !isConnected));
		},
	});
	request.once('socket', socket => {
		isConnected = !socket.connecting;
		if (socket.connecting) {
			socket.once('connect', () => {
				isConnected = true;
			});
		}
	});
	request.on('timeout', () => {
		// Otherwise each retry would be lost on the next connection that stopped responding at the same time.
		if (agent !== false) {
			closeIdleConnections(agent, {host, port});
		}

		const readBytes = request.socket?.bytesRead;
		// After a stall of this process, timers run before the data that arrived meanwhile is read.
		setImmediate(() => {
			if (request.socket?.bytesRead === readBytes) {
				request.destroy(new TransportError(`received no data from ${address} for ${idleTimeoutMs} ms`, !isConnected));
			}
		});
	});
	limitInformationalAnswers(request, () => {
		request.destroy(new TransportError(`${address} sent more than ${readLimits.informationalAnswers} informational answers`, false));
	});
	request.on('error', error => {
		// Nothing can have been sent before the connection is established; afterwards it is unknown whether the server received the request.
		reject(error instanceof TransportError ? error : new TransportError(error.message, !isConnected));
	});
	request.end(data);
});

/** Calls `onExceeded` once if more informational answers (1xx) arrive than allowed: the HTTP parser does not bound their number. */
export const limitInformationalAnswers = (request: http.ClientRequest, onExceeded: () => void): void => {
	let count = 0;
	request.on('information', () => {
		count++;
		if (count === readLimits.informationalAnswers + 1) {
			onExceeded();
		}
	});
};

export type FetchOptions = Omit<HttpRequestOptions, 'signal'> & {
	readonly signal?: AbortSignal;
	/** A larger body is an error, and its connection is closed. */
	readonly limitBytes: number;
	/** Time within which the complete answer must have arrived, however many bytes arrive meanwhile. */
	readonly totalTimeoutMs: number;
};

export type FetchedAnswer = {readonly status: number; readonly headers: http.IncomingHttpHeaders; readonly body: Buffer};

/** Sends one request and reads the complete answer, within bounds in bytes and in time. */
export const fetchHttp = async ({limitBytes, totalTimeoutMs, signal, ...options}: FetchOptions): Promise<FetchedAnswer> => {
	const timeout = timeoutSignal(totalTimeoutMs);
	const response = await sendHttp({...options, signal: signal === undefined ? timeout : AbortSignal.any([signal, timeout])});
	return {status: response.statusCode!, headers: response.headers, body: await readBody(response, limitBytes)};
};
