import {Buffer} from 'node:buffer';
import http from 'node:http';
import {parseAddress} from './address.js';
import {meterOf} from './body-budget.js';
import {closeIdleConnections, createPool} from './connection-pool.js';

/** How a request failed on its way, as far as it is known whether the other side saw it. */
export class TransportError extends Error {
	override readonly name = 'TransportError';

	constructor(message: string, /** The connection never came about, so nothing arrived. */ readonly isUnsent: boolean) {
		super(message);
	}
}

export type HttpRequestOptions = {
	readonly address: string;
	readonly method?: string;
	readonly path: string;
	readonly headers?: http.OutgoingHttpHeaders;
	readonly body?: string | Uint8Array;
	/** Without a byte from the other side for this long the request fails. */
	readonly idleTimeoutMs: number;
	readonly signal?: AbortSignal;
	/** @default the shared keep-alive pool */
	readonly agent?: http.Agent | false;
};

const sharedAgent = createPool();

/** Sends one request; resolves with the response as soon as its head is there. */
export const sendHttp = async (options: HttpRequestOptions): Promise<http.IncomingMessage> => new Promise((resolve, reject) => {
	const {address, method = 'GET', path, headers = {}, body, idleTimeoutMs, signal, agent = sharedAgent} = options;
	const {host, port} = parseAddress(address);
	const data = typeof body === 'string' ? Buffer.from(body) : body;
	let isConnected = false;
	const request = http.request({
		host, port, method, path, agent, signal, timeout: idleTimeoutMs,
		headers: data === undefined ? headers : {...headers, 'content-length': data.length},
	}, resolve);
	request.once('socket', socket => {
		isConnected = !socket.connecting;
		if (socket.connecting) {
			socket.once('connect', () => {
				isConnected = true;
			});
		}
	});
	request.on('timeout', () => {
		// Without this, each retry would be lost on the next connection that went silent at the same time.
		if (agent !== false) {
			closeIdleConnections(agent, {host, port});
		}

		request.destroy(new TransportError(`no byte from ${address} for ${idleTimeoutMs} ms`, !isConnected));
	});
	request.on('error', error => {
		// Before the connection stands no byte of the request can have left; after it, nobody here can tell.
		reject(error instanceof TransportError ? error : new TransportError(error.message, !isConnected));
	});
	request.end(data);
});

/** Reads a body whole; a body that is cut or exceeds `limitBytes` is an error. */
export const readBody = async (message: http.IncomingMessage, limitBytes = Number.POSITIVE_INFINITY): Promise<Buffer> => {
	if (Number(message.headers['content-length'] ?? 0) > limitBytes) {
		// An answer that is left unread would keep its connection from the pool.
		if (typeof message.statusCode === 'number') {
			message.destroy();
		}

		throw new BodyTooLargeError(limitBytes);
	}

	const meter = meterOf(message);
	const parts: Buffer[] = [];
	let sizeBytes = 0;
	for await (const part of message as AsyncIterable<Buffer>) {
		sizeBytes += part.length;
		if (sizeBytes > limitBytes) {
			throw new BodyTooLargeError(limitBytes);
		}

		meter?.add(part.length);
		parts.push(part);
	}

	return Buffer.concat(parts);
};

export class BodyTooLargeError extends Error {
	override readonly name = 'BodyTooLargeError';

	constructor(limitBytes: number) {
		super(`the body is larger than ${limitBytes} bytes`);
	}
}
