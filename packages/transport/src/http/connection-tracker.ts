import type http from 'node:http';
import net, {type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Exchange} from './refuse-connection.js';

/** The connections of an HTTP server, and the requests that are being answered on them. */
export type ConnectionTracker = {
	openConnections(): number;
	/** Requests whose response has not been sent completely. */
	exchanges(): Exchange[];
	exchangeOf(socket: Duplex): Exchange | undefined;
	/** Number of requests on a connection whose response has not been sent completely. */
	pendingOn(socket: Duplex): number;
	/** Makes responses ask the client to close its connection, as far as their head has not been sent. */
	announceClose(): void;
	/** Stops listening, and closes each connection once it is idle; `onClosed` is called when none is left. */
	closeWhenIdle(onClosed?: () => void): void;
};

type Connection = {
	readonly exchanges: Set<Exchange>;
	/** Bytes received when the connection last became idle. */
	idleBytes: number;
};

/**
 * Tracks the connections of a server in order to close the idle ones. A connection is
 * idle if nothing is left to send on it and nothing of a request has arrived. Node's
 * `closeIdleConnections` and `close` also take a connection for idle while the end of its
 * response still waits in this process for a client that reads slowly; they must not be
 * called on a tracked server.
 */
export const trackConnections = (server: http.Server): ConnectionTracker => {
	const connections = new Map<Duplex, Connection>();
	let isClosing = false;
	let isAnnouncingClose = false;

	const isIdle = (socket: Socket, {exchanges, idleBytes}: Connection): boolean => exchanges.size === 0 && socket.writableLength === 0 && socket.bytesRead === idleBytes;

	const closeIfIdle = (socket: Socket): void => {
		const connection = connections.get(socket);
		if (isClosing && connection !== undefined && isIdle(socket, connection)) {
			socket.destroy();
		}
	};

	const askToClose = ({response}: Exchange): void => {
		if (!response.headersSent) {
			response.shouldKeepAlive = false;
		}
	};

	server.prependListener('connection', (socket: Socket) => {
		connections.set(socket, {exchanges: new Set(), idleBytes: 0});
		socket.once('close', () => {
			connections.delete(socket);
		});
		closeIfIdle(socket);
	});
	server.prependListener('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
		const {socket} = request;
		if (socket.destroyed) {
			return;
		}

		const connection = connections.get(socket)!;
		const exchange: Exchange = {request, response};
		connection.exchanges.add(exchange);
		if (isAnnouncingClose) {
			askToClose(exchange);
		}

		const settle = (): void => {
			if (response.closed && request.complete) {
				connection.idleBytes = socket.bytesRead;
				closeIfIdle(socket);
			}
		};

		response.once('close', () => {
			connection.exchanges.delete(exchange);
			settle();
		});
		// A response may end before the body of its request has arrived.
		request.once('close', settle);
	});
	const allExchanges = (): Exchange[] => [...connections.values()].flatMap(({exchanges}) => [...exchanges]);

	const announceClose = (): void => {
		isAnnouncingClose = true;
		for (const exchange of allExchanges()) {
			askToClose(exchange);
		}
	};

	return {
		openConnections: () => connections.size,
		exchanges: allExchanges,
		exchangeOf: socket => [...connections.get(socket)?.exchanges ?? []][0],
		pendingOn: socket => connections.get(socket)?.exchanges.size ?? 0,
		announceClose,
		closeWhenIdle(onClosed) {
			isClosing = true;
			announceClose();
			// Not the method of `http.Server`, which closes idle connections by its own rule.
			net.Server.prototype.close.call(server, () => {
				// Ends the server's periodic check for slow senders.
				server.close();
				onClosed?.();
			});
			for (const socket of connections.keys()) {
				closeIfIdle(socket as Socket);
			}
		},
	};
};
