import http from 'node:http';
import type {Socket} from 'node:net';
import {listenOn, refuseConnection, type Exchange} from '@bitternpaddle/transport';

export type FrontServerOptions = {
	readonly listen: string;
	/** `isReused`: the connection carried a request before. */
	serve(request: http.IncomingMessage, response: http.ServerResponse, connection: {readonly isReused: boolean}): Promise<void>;
	onError(error: Error): void;
	/** Called before a connection is closed whose answer has not been sent completely. @default ignored */
	readonly onCut?: (exchange: Exchange, cause: 'idleClose' | 'shutdown') => void;
};

export type FrontServer = {
	readonly address: string;
	/** Number of requests in progress. */
	openRequests(): number;
	openConnections(): number;
	/** Sets how long a caller's connection may be idle. */
	setIdleTimeout(idleMs: number): void;
	/** Stops accepting connections; open connections stay open. */
	closeListener(): void;
	/** Closes connections without a request in progress. */
	closeIdle(): void;
	destroy(): void;
};

/** Added to the idle timeout that callers know. They use a connection until shortly before that timeout, so the entry must not close it first. */
const idleMarginMs = 2000;
const defaultIdleMs = 15_000;
const maxHeadBytes = 32_768;

/** Creates the HTTP server for callers. */
export const createFrontServer = async ({listen, serve, onError, onCut = () => undefined}: FrontServerOptions): Promise<FrontServer> => {
	const exchanges = new Map<Socket, Exchange>();
	const sockets = new Set<Socket>();
	const usedSockets = new WeakSet<Socket>();
	const server = http.createServer({
		keepAliveTimeout: defaultIdleMs + idleMarginMs, maxHeaderSize: maxHeadBytes, requestTimeout: 0,
	}, (request, response) => {
		const {socket} = request;
		exchanges.set(socket, {request, response});
		response.once('close', () => {
			exchanges.delete(socket);
		});
		const isReused = usedSockets.has(socket);
		usedSockets.add(socket);
		serve(request, response, {isReused}).catch((error: unknown) => {
			onError(error as Error);
			response.destroy();
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		refuseConnection(socket, error, exchanges.get(socket as Socket));
	});
	/** `closeIdleConnections` also closes connections whose answer has ended but not been sent completely. */
	const reportUnsent = (): void => {
		for (const exchange of exchanges.values()) {
			if (exchange.response.writableEnded && !exchange.response.writableFinished) {
				onCut(exchange, 'idleClose');
			}
		}
	};

	const address = await listenOn(server, listen);
	return {
		address,
		openRequests: () => exchanges.size,
		openConnections: () => sockets.size,
		setIdleTimeout(idleMs) {
			server.keepAliveTimeout = idleMs + idleMarginMs;
		},
		closeListener() {
			reportUnsent();
			server.close();
		},
		closeIdle() {
			reportUnsent();
			server.closeIdleConnections();
		},
		destroy() {
			for (const exchange of exchanges.values()) {
				onCut(exchange, 'shutdown');
			}

			server.close();
			server.closeAllConnections();
		},
	};
};
