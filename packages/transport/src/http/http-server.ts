import http from 'node:http';
import type {Socket} from 'node:net';
import {createBodyBudget} from './body-budget.js';
import {createConnectionLimit} from './connection-limit.js';
import {trackConnections} from './connection-tracker.js';
import {listenOn} from './listen.js';
import type {ServerLimits} from './overload.js';
import {refuseConnection} from './refuse-connection.js';
import {BodyTooLargeError} from './read-body.js';

export type HttpHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

export type HttpServer = {
	/** The bound `ip:port`. */
	readonly address: string;
	/** Stops listening and closes idle connections; resolves when all responses have been sent. */
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
/** Interval of the checks for slow senders. */
const connectionsCheckingIntervalMs = 500;

export const createHttpServer = async (options: CreateHttpServerOptions): Promise<HttpServer> => {
	const {listen, handler, onError, limits = {}} = options;
	const {
		maxConnections = 8192, maxBufferedBytes = 134_217_728, headersTimeoutMs = 10_000, requestTimeoutMs = 60_000, unreadTimeoutMs = 60_000,
	} = limits;
	const bodies = createBodyBudget(maxBufferedBytes);
	const connections = createConnectionLimit({maxConnections, refuseIncomplete: reason => bodies.refuseOldest(reason)});
	const server = http.createServer({
		keepAliveTimeout: keepAliveTimeoutMs, headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionsCheckingIntervalMs,
	}, (request, response) => {
		const {socket} = request;
		if (!connections.begin(socket)) {
			return;
		}

		const meter = bodies.open(request, response);
		response.once('close', () => {
			connections.end(socket);
		});

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
	const tracker = trackConnections(server);
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		refuseConnection(socket, error, tracker.exchangeOf(socket));
	});
	server.prependListener('connection', (socket: Socket) => {
		connections.open(socket);
	});
	// A caller that never reads would keep its response in memory forever. A response with no data to send yet may take longer.
	server.timeout = unreadTimeoutMs;
	server.on('timeout', (socket: Socket) => {
		if (socket.writableLength > 0 || tracker.exchangeOf(socket) === undefined) {
			socket.destroy();
		}
	});
	const address = await listenOn(server, listen);
	return {
		address,
		async close() {
			await new Promise<void>(resolve => {
				tracker.closeWhenIdle(resolve);
			});
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
