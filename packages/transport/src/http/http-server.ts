import http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {createBodyBudget} from './body-budget.js';
import {createConnectionLimit} from './connection-limit.js';
import {listenOn} from './listen.js';
import type {ServerLimits} from './overload.js';
import {refuseConnection, type Exchange} from './refuse-connection.js';
import {BodyTooLargeError} from './http-client.js';

export type HttpHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

export type HttpServer = {
	/** The bound `ip:port`. */
	readonly address: string;
	/** Stops listening and closes idle connections; resolves when the open requests are finished. */
	close(): Promise<void>;
	/** Closes all connections immediately. */
	destroy(): void;
};

export type CreateHttpServerOptions = {
	/** `ip:port`; with port 0 the operating system chooses the port. */
	readonly listen: string;
	readonly handler: HttpHandler;
	readonly onError?: (error: Error) => void;
	/** @default {} */
	readonly limits?: ServerLimits;
};

/** Longer than clients keep idle connections, so that the server closes none while a request is being sent on it. */
const keepAliveTimeoutMs = 65_000;
const closeIdleIntervalMs = 20;

/** Interval of the checks for slow senders. */
const connectionsCheckingIntervalMs = 500;

export const createHttpServer = async (options: CreateHttpServerOptions): Promise<HttpServer> => {
	const {listen, handler, onError, limits = {}} = options;
	const {
		maxConnections = 8192, maxBufferedBytes = 134_217_728, headersTimeoutMs = 10_000, requestTimeoutMs = 60_000, unreadTimeoutMs = 60_000,
	} = limits;
	const bodies = createBodyBudget(maxBufferedBytes);
	const connections = createConnectionLimit({maxConnections, refuseIncomplete: reason => bodies.refuseOldest(reason)});
	const exchanges = new WeakMap<Duplex, Exchange>();
	let isClosing = false;
	const server = http.createServer({
		keepAliveTimeout: keepAliveTimeoutMs, headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionsCheckingIntervalMs,
	}, (request, response) => {
		const {socket} = request;
		if (!connections.begin(socket)) {
			return;
		}

		const meter = bodies.open(request, response);
		exchanges.set(socket, {request, response});
		response.once('close', () => {
			exchanges.delete(socket);
			connections.end(socket);
		});
		if (isClosing) {
			response.setHeader('connection', 'close');
		}

		handler(request, response).catch((error: unknown) => {
			// The sender already has its response; the handler's error only follows from the interrupted body.
			if (meter.isRefused()) {
				return;
			}

			const isTooLarge = error instanceof BodyTooLargeError;
			const isSenderDisconnected = request.destroyed && !request.complete;
			if (!isTooLarge && !isSenderDisconnected) {
				onError?.(error as Error);
			}

			if (response.headersSent) {
				// The client must see a broken connection, not a response that looks complete.
				response.destroy();
			} else if (isTooLarge) {
				// The rest of the body is not read, so the connection cannot carry another request.
				sendJson(response, 413, {error: {type: 'invalid_request', message: error.message}}, {connection: 'close'});
			} else {
				sendJson(response, 500, {error: {type: 'internal', message: (error as Error).message}});
			}
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		refuseConnection(socket, error, exchanges.get(socket));
	});
	server.prependListener('connection', (socket: Socket) => {
		connections.open(socket);
	});
	// A caller that never reads would keep its response in memory forever. A response with no data to send yet may take longer.
	server.timeout = unreadTimeoutMs;
	server.on('timeout', (socket: Socket) => {
		if (socket.writableLength > 0 || !exchanges.has(socket)) {
			socket.destroy();
		}
	});
	const address = await listenOn(server, listen);
	return {
		address,
		async close() {
			isClosing = true;
			// A connection becomes idle when its streamed response ends; if it were not closed then, it would delay the shutdown until its keep-alive timeout.
			const timer = setInterval(() => {
				server.closeIdleConnections();
			}, closeIdleIntervalMs);
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
