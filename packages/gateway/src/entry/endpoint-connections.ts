import http from 'node:http';
import {
	closeIdleConnections, closeStaleConnections, createPool, parseAddress,
} from '@bitternpaddle/transport';

export type OpenOptions = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	/** For requests that must not be sent twice: uses a new connection or one that was idle only briefly. */
	readonly requiresFreshConnection: boolean;
};

/** Pool of connections to endpoints. */
export type EndpointConnections = {
	open(options: OpenOptions): http.ClientRequest;
	/** Closes the idle connections to an address; called after a timeout there, because those connections may be broken as well. */
	closeIdle(address: string): void;
	close(): void;
};

/** Idle timeouts of endpoints are whole seconds, so a connection that was idle for less than this is not about to be closed. */
const maxFreshIdleMs = 700;
const maxAgeMs = 60_000;
/** Less than the shortest known idle timeout of endpoints. */
const idleMs = 4000;

export const createEndpointConnections = (): EndpointConnections => {
	const pool = createPool({maxAgeMs, idleMs, maxIdle: 64});
	return {
		open({address, method, path, headers, requiresFreshConnection}) {
			const {host, port} = parseAddress(address);
			if (requiresFreshConnection) {
				closeStaleConnections(pool, {host, port}, maxFreshIdleMs);
			}

			return http.request({
				host, port, method, path, headers, agent: pool,
			});
		},
		closeIdle(address) {
			closeIdleConnections(pool, parseAddress(address));
		},
		close() {
			pool.destroy();
		},
	};
};
