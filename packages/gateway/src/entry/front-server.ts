import http from 'node:http';
import type {Socket} from 'node:net';
import {listenOn, refuseConnection, type Exchange} from '@bitternpaddle/transport';

export type FrontServerOptions = {
	readonly listen: string;
	/** `isReused`: the connection carried a request before. */
	serve(request: http.IncomingMessage, response: http.ServerResponse, connection: {readonly isReused: boolean}): Promise<void>;
	onError(error: Error): void;
};

export type FrontServer = {
	readonly address: string;
	/** Requests that are being answered. */
	openRequests(): number;
	openConnections(): number;
	/** How long a caller's connection may lie idle. */
	setIdleTimeout(idleMs: number): void;
	/** Takes no new connections; those that are open go on. */
	closeListener(): void;
	/** Ends connections that carry no request. */
	closeIdle(): void;
	destroy(): void;
};

/** Callers use a connection until shortly before the idle timeout that they know: the entry must not be the first to close. */
const idleSlackMs = 2000;
const defaultIdleMs = 15_000;
const maxHeadBytes = 32_768;

/** Where callers connect to. */
export const createFrontServer = async ({listen, serve, onError}: FrontServerOptions): Promise<FrontServer> => {
	const exchanges = new Map<Socket, Exchange>();
	const sockets = new Set<Socket>();
	const usedSockets = new WeakSet<Socket>();
	const server = http.createServer({
		keepAliveTimeout: defaultIdleMs + idleSlackMs, maxHeaderSize: maxHeadBytes, requestTimeout: 0,
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
	const address = await listenOn(server, listen);
	return {
		address,
		openRequests: () => exchanges.size,
		openConnections: () => sockets.size,
		setIdleTimeout(idleMs) {
			server.keepAliveTimeout = idleMs + idleSlackMs;
		},
		closeListener() {
			server.close();
		},
		closeIdle() {
			server.closeIdleConnections();
		},
		destroy() {
			server.close();
			server.closeAllConnections();
		},
	};
};
