import http from 'node:http';
import type {Socket} from 'node:net';
import {recordAllocatedBytes} from './collect-garbage.js';
import {createConnectionLimit} from './connection-limit.js';
import {trackConnections, type ConnectionTracker} from './connection-tracker.js';
import {defaultDiscardLimits, discardBody} from './discard-body.js';
import type {OnLimit, ServerLimits} from './overload.js';
import {refuseConnection, type Exchange} from './refuse-connection.js';
import {PausableMessage} from './read-turns.js';
import {createRequestBudget, type RequestMeter} from './request-budget.js';
import {createMeasuredResponse, createUnreadResponses} from './unread-responses.js';

export type GuardedServerOptions = {
	readonly limits: ServerLimits;
	/** How long a connection may be idle between two requests. */
	readonly keepAliveTimeoutMs: number;
	/** The most bytes of a body that are read after its request was answered. @default 1048576 */
	maxDiscardedBytes?(): number;
	/** Handles a request that was not refused. */
	onRequest(request: http.IncomingMessage, response: http.ServerResponse, meter: RequestMeter): void;
	/** @default ignored */
	readonly onLimit?: OnLimit;
	/** Called before a connection is closed whose response is not read. @default ignored */
	readonly onUnread?: (exchange: Exchange) => void;
};

/** What a server holds now. */
export type ServerUsage = {
	readonly connections: number;
	/** Memory counted for requests, in bytes. */
	readonly requestBytes: number;
	/** Bytes of responses that wait for their callers to read. */
	readonly unreadBytes: number;
};

export type GuardedServer = {
	readonly server: http.Server;
	readonly tracker: ConnectionTracker;
	usage(): ServerUsage;
};

/** Objects of a request on a connection that was closed; the parser goes on to the end of what it was given. */
const droppedRequestBytes = 4096;
/** Interval of the checks for slow senders. */
const connectionsCheckingIntervalMs = 500;

/** Creates an HTTP server that bounds what its callers make it hold: connections, requests, bodies, responses that nobody reads, and the time for each. */
export const createGuardedServer = (options: GuardedServerOptions): GuardedServer => {
	const {
		limits, keepAliveTimeoutMs, maxDiscardedBytes = () => defaultDiscardLimits.maxBytes, onRequest, onLimit = () => undefined, onUnread = () => undefined,
	} = options;
	const {
		maxConnections = 8192, maxBufferedBytes = 134_217_728, maxRequests = 4096, maxUnreadBytes = 134_217_728, maxPipelinedRequests = 128, maxFragmentedBodies = 8,
		maxHeadBytes = 16_384, headersTimeoutMs = 10_000, requestTimeoutMs = 60_000, unreadTimeoutMs = 60_000,
	} = limits;
	const requests = createRequestBudget({
		maxBytes: maxBufferedBytes, maxRequests, maxFragmented: maxFragmentedBodies,
		onRefused(limit, {socket}) {
			onLimit(limit, socket.remoteAddress);
		},
	});
	const connections = createConnectionLimit({
		maxConnections, refuseIncomplete: requests.refuseOldest,
		closeAnswered() {
			const answered = tracker.exchanges().find(({request, response}) => response.headersSent && !request.complete && response.writableLength === 0);
			answered?.request.socket.destroy();
			return answered !== undefined;
		},
		onRefused(socket) {
			onLimit('connections', (socket as Socket).remoteAddress);
		},
	});
	const unread = createUnreadResponses({
		maxBytes: maxUnreadBytes, exchanges: () => tracker.exchanges(),
		onCut(exchange) {
			onLimit('unreadBytes', exchange.request.socket.remoteAddress);
			onUnread(exchange);
		},
	});

	/** Ends a body that goes on after its request was answered. */
	const limitRest = (request: http.IncomingMessage): void => {
		discardBody(request, {...defaultDiscardLimits, maxBytes: maxDiscardedBytes()}, isComplete => {
			if (!isComplete && !request.socket.destroyed) {
				onLimit('discardedBody', request.socket.remoteAddress);
				request.socket.destroy();
			}
		});
	};

	const server = http.createServer({
		keepAliveTimeout: keepAliveTimeoutMs, headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionsCheckingIntervalMs,
		maxHeaderSize: maxHeadBytes, IncomingMessage: PausableMessage, ServerResponse: createMeasuredResponse(unread.recordWrite),
	}, (request, response) => {
		const {socket} = request;
		if (socket.destroyed) {
			recordAllocatedBytes(droppedRequestBytes);
			return;
		}

		if (!connections.begin(socket)) {
			return;
		}

		const pending = tracker.pendingOn(socket);
		if (pending > maxPipelinedRequests) {
			onLimit('pipelinedRequests', socket.remoteAddress);
			socket.destroy();
			return;
		}

		const isQueued = pending > 1;
		const meter = requests.open(request, response, isQueued);
		response.once('close', () => {
			connections.end(socket);
			if (!request.complete && !socket.destroyed) {
				limitRest(request);
			}
		});
		if (meter !== null) {
			onRequest(request, response, meter);
		} else if (isQueued) {
			// Its refusal would wait in memory behind the answers before it.
			socket.destroy();
		}
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
	return {
		server, tracker,
		usage: () => ({connections: connections.openCount(), requestBytes: requests.heldBytes(), unreadBytes: unread.totalBytes()}),
	};
};
