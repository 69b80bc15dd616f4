import http from 'node:http';
import type {Socket} from 'node:net';
import {
	cutConnection, listenOn, refuseConnection, trackConnections, type Exchange,
} from '@bitternpaddle/transport';

export type FrontServerOptions = {
	readonly listen: string;
	/** `isReused`: the connection carried a request before. */
	serve(request: http.IncomingMessage, response: http.ServerResponse, connection: {readonly isReused: boolean}): Promise<void>;
	onError(error: Error): void;
	/** Called before a connection is closed whose answer has not been sent completely. @default ignored */
	readonly onTruncate?: (exchange: Exchange) => void;
};

export type FrontServer = {
	readonly address: string;
	/** Number of requests in progress. */
	openRequests(): number;
	openConnections(): number;
	/** Sets how long a caller's connection may be idle. */
	setIdleTimeout(idleMs: number): void;
	/** Makes answers ask callers to close their connection. */
	announceClose(): void;
	/** Stops accepting connections, and closes each one once it is idle. */
	closeWhenIdle(): void;
	destroy(): void;
};

/** Added to the idle timeout that callers know. They use a connection until shortly before that timeout, so the entry must not close it first. */
const idleMarginMs = 2000;
const defaultIdleMs = 15_000;
const maxHeadBytes = 32_768;

/** Creates the HTTP server for callers. */
export const createFrontServer = async ({listen, serve, onError, onTruncate = () => undefined}: FrontServerOptions): Promise<FrontServer> => {
	const usedSockets = new WeakSet<Socket>();
	const server = http.createServer({
		keepAliveTimeout: defaultIdleMs + idleMarginMs, maxHeaderSize: maxHeadBytes, requestTimeout: 0,
	}, (request, response) => {
		const {socket} = request;
		const isReused = usedSockets.has(socket);
		usedSockets.add(socket);
		serve(request, response, {isReused}).catch((error: unknown) => {
			onError(error as Error);
			cutConnection(response);
		});
	});
	const tracker = trackConnections(server);
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		refuseConnection(socket, error, tracker.exchangeOf(socket));
	});
	const address = await listenOn(server, listen);
	return {
		address,
		openRequests: () => tracker.exchanges().length,
		openConnections: tracker.openConnections,
		setIdleTimeout(idleMs) {
			server.keepAliveTimeout = idleMs + idleMarginMs;
		},
		announceClose: tracker.announceClose,
		closeWhenIdle: tracker.closeWhenIdle,
		destroy() {
			for (const exchange of tracker.exchanges()) {
				onTruncate(exchange);
				cutConnection(exchange.response);
			}

			server.close();
			server.closeAllConnections();
		},
	};
};
