import type http from 'node:http';
import type {Socket} from 'node:net';
import type {CallerLimits} from '@bitternpaddle/state';
import {
	createGuardedServer, cutConnection, listenOn, type Exchange, type OnLimit, type ServerLimits, type ServerUsage,
} from '@bitternpaddle/transport';

export type FrontServerOptions = {
	readonly listen: string;
	/** `isReused`: the connection carried a request before. */
	serve(request: http.IncomingMessage, response: http.ServerResponse, connection: {readonly isReused: boolean}): Promise<void>;
	onError(error: Error): void;
	/** Called before a connection is closed whose answer has not been sent completely. @default ignored */
	readonly onTruncate?: (exchange: Exchange) => void;
	/** The size of a head and the time for a request are those of the callers' configuration. @default {} */
	readonly limits?: Omit<ServerLimits, 'maxHeadBytes' | 'headersTimeoutMs' | 'requestTimeoutMs'>;
	/** @default ignored */
	readonly onLimit?: OnLimit;
	/** Called before a connection is closed whose answer is not read. @default ignored */
	readonly onUnread?: (exchange: Exchange) => void;
};

export type FrontServer = {
	readonly address: string;
	/** Number of requests in progress. */
	openRequests(): number;
	openConnections(): number;
	usage(): ServerUsage;
	/** Sets what callers may send, and how long they may take or be idle. */
	setCallerLimits(limits: CallerLimits): void;
	/** Makes answers ask callers to close their connection. */
	announceClose(): void;
	/** Stops accepting connections, and closes each one once it is idle. */
	closeWhenIdle(): void;
	destroy(): void;
};

/** Added to the timeouts that callers know. They use a connection until shortly before its timeout, so the entry must not close it first. */
const timeoutMarginMs = 2000;
const defaultIdleMs = 15_000;
/** Added to the size that callers know: how they count the first line and the separators is not known. */
const headMarginBytes = 4096;
/** The limits of callers before a configuration is known. */
export const defaultCallerLimits: CallerLimits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: defaultIdleMs,
};

/** A connection may be idle from its start, too, so that a head is due no earlier than that. */
const headTimeoutMs = ({headerTimeoutMs, idleTimeoutMs}: CallerLimits): number => Math.max(headerTimeoutMs, idleTimeoutMs) + timeoutMarginMs;

/** Creates the HTTP server for callers. */
export const createFrontServer = async (options: FrontServerOptions): Promise<FrontServer> => {
	const {
		listen, serve, onError, onTruncate = () => undefined, limits = {}, onLimit, onUnread,
	} = options;
	const usedSockets = new WeakSet<Socket>();
	let callerLimits = defaultCallerLimits;

	const serveOrCut = async (request: http.IncomingMessage, response: http.ServerResponse, isReused: boolean): Promise<void> => {
		try {
			await serve(request, response, {isReused});
		} catch (error) {
			onError(error as Error);
			cutConnection(response);
		}
	};

	const {server, tracker, usage} = createGuardedServer({
		// The time for a body ends with the deadline of its request.
		limits: {
			...limits, maxHeadBytes: callerLimits.maxHeaderBytes + headMarginBytes, headersTimeoutMs: headTimeoutMs(callerLimits), requestTimeoutMs: 0,
		},
		keepAliveTimeoutMs: defaultIdleMs + timeoutMarginMs,
		maxDiscardedBytes: () => callerLimits.maxBodyBytes,
		onRequest(request, response) {
			const {socket} = request;
			const isReused = usedSockets.has(socket);
			usedSockets.add(socket);
			void serveOrCut(request, response, isReused);
		},
		onLimit, onUnread,
	});
	const address = await listenOn(server, listen);
	return {
		address,
		openRequests: () => tracker.exchanges().length,
		openConnections: tracker.openConnections,
		usage,
		setCallerLimits(next) {
			callerLimits = next;
			server.keepAliveTimeout = next.idleTimeoutMs + timeoutMarginMs;
			server.headersTimeout = headTimeoutMs(next);
			// Applies to connections that are accepted from now on; the types of Node.js have no field for it.
			Object.assign(server, {maxHeaderSize: next.maxHeaderBytes + headMarginBytes});
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
