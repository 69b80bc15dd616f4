import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {listenOn} from './listen.js';
import {endAndClose, type OnLimit, type ServerLimits} from './overload.js';
import {BodyTooLargeError} from './read-body.js';
import type {RequestMeter} from './request-budget.js';
import {createGuardedServer, type ServerUsage} from './server-guard.js';

export type HttpHandler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

export type HttpServer = {
	/** The bound `ip:port`. */
	readonly address: string;
	usage(): ServerUsage;
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
	/** @default ignored */
	readonly onLimit?: OnLimit;
};

/** Longer than clients keep idle connections, so that the server closes none while a request is being sent on it. */
const keepAliveTimeoutMs = 65_000;

export const createHttpServer = async (options: CreateHttpServerOptions): Promise<HttpServer> => {
	const {listen, handler, onError, limits = {}, onLimit} = options;

	const failRequest = (request: http.IncomingMessage, response: http.ServerResponse, error: Error): void => {
		const isTooLarge = error instanceof BodyTooLargeError;
		const isSenderDisconnected = request.destroyed && !request.complete;
		if (!isTooLarge && !isSenderDisconnected) {
			onError?.(error);
		}

		if (response.headersSent) {
			// The client must see a broken connection, not a response that looks complete.
			response.destroy();
		} else if (isTooLarge) {
			// The rest of the body is not used, so the connection cannot carry another request.
			endAndClose(request, response, 413, JSON.stringify({error: {type: 'invalid_request', message: error.message}}), {});
		} else {
			sendJson(response, 500, {error: {type: 'internal', message: error.message}});
		}
	};

	const handle = async (request: http.IncomingMessage, response: http.ServerResponse, meter: RequestMeter): Promise<void> => {
		try {
			await handler(request, response);
		} catch (error) {
			// The sender of a refused request already has its response; the handler's error only follows from the interrupted body.
			if (!meter.isRefused()) {
				failRequest(request, response, error as Error);
			}
		}
	};

	const {server, tracker, usage} = createGuardedServer({
		limits, keepAliveTimeoutMs, onLimit,
		onRequest(request, response, meter) {
			void handle(request, response, meter);
		},
	});
	const address = await listenOn(server, listen);
	return {
		address,
		usage,
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
	response.writeHead(status, {...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
};
