import http from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {parseAddress} from './address.js';
import {refuseConnection, type Exchange} from './refuse-connection.js';
import {BodyTooLargeError} from './http-client.js';

export type HttpHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

export type HttpServer = {
	/** `ip:port` as bound. */
	readonly address: string;
	/** Stops listening and ends idle connections; open requests go on until done. */
	close(): Promise<void>;
	/** Ends all connections at once. */
	destroy(): void;
};

export type CreateHttpServerOptions = {
	/** `ip:port`; port 0 lets the system choose. */
	readonly listen: string;
	readonly handler: HttpHandler;
	readonly onError?: (error: Error) => void;
	/** How long a sender may take over a request's head. @default 10000 */
	readonly headersTimeoutMs?: number;
	/** How long a sender may take over a whole request. @default 60000 */
	readonly requestTimeoutMs?: number;
};

/** Longer than clients keep idle connections, so that none is closed under a request that is being sent. */
const keepAliveTimeoutMs = 65_000;
const closeIdleMs = 20;

/** How often slow senders are looked for. */
const connectionsCheckingIntervalMs = 500;

export const createHttpServer = async (options: CreateHttpServerOptions): Promise<HttpServer> => {
	const {listen, handler, onError, headersTimeoutMs = 10_000, requestTimeoutMs = 60_000} = options;
	const exchanges = new WeakMap<Duplex, Exchange>();
	let isClosing = false;
	const server = http.createServer({
		keepAliveTimeout: keepAliveTimeoutMs, headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionsCheckingIntervalMs,
	}, (request, response) => {
		const {socket} = request;
		exchanges.set(socket, {request, response});
		response.once('close', () => {
			exchanges.delete(socket);
		});
		if (isClosing) {
			response.setHeader('connection', 'close');
		}

		handler(request, response).catch((error: unknown) => {
			const isTooLarge = error instanceof BodyTooLargeError;
			if (!isTooLarge) {
				onError?.(error as Error);
			}

			if (response.headersSent) {
				// The other side must see a cut, not an answer that looks whole.
				response.destroy();
			} else if (isTooLarge) {
				// What is left of the body is not read, so the connection cannot carry another request.
				sendJson(response, 413, {error: {type: 'invalid_request', message: error.message}}, {connection: 'close'});
			} else {
				sendJson(response, 500, {error: {type: 'internal', message: (error as Error).message}});
			}
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		refuseConnection(socket, error, exchanges.get(socket));
	});
	const {host, port} = parseAddress(listen);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const bound = server.address() as AddressInfo;
	return {
		address: `${bound.address}:${bound.port}`,
		async close() {
			isClosing = true;
			// A connection that carried a stream falls idle after the stream's end; unless it is closed then, it would hold up the stop until its keep-alive runs out.
			const timer = setInterval(() => {
				server.closeIdleConnections();
			}, closeIdleMs);
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
			clearInterval(timer);
		},
		destroy() {
			server.closeAllConnections();
			server.close();
		},
	};
};

export const sendJson = (response: http.ServerResponse, status: number, body: unknown, headers: http.OutgoingHttpHeaders = {}): void => {
	const text = JSON.stringify(body);
	response.writeHead(status, {...headers, 'content-type': 'application/json', 'content-length': new TextEncoder().encode(text).length});
	response.end(text);
};
