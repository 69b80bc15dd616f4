import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {parseAddress} from './address.js';

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
};

/** Longer than clients keep idle connections, so that none is closed under a request that is being sent. */
const keepAliveTimeoutMs = 65_000;
const closeIdleMs = 20;

export const createHttpServer = async ({listen, handler, onError}: CreateHttpServerOptions): Promise<HttpServer> => {
	let isClosing = false;
	const server = http.createServer({keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
		if (isClosing) {
			response.setHeader('connection', 'close');
		}

		handler(request, response).catch((error: unknown) => {
			onError?.(error as Error);
			if (response.headersSent) {
				// The other side must see a cut, not an answer that looks whole.
				response.destroy();
			} else {
				sendJson(response, 500, {error: {type: 'internal', message: (error as Error).message}});
			}
		});
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
