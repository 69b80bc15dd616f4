import type http from 'node:http';

/** A response that the entry generates itself, instead of an endpoint's answer. */
export type LocalReply = {
	readonly status: number;
	readonly message: string;
	/** Retry delay for the caller; only set if the request has not run. */
	readonly retryAfterMs?: number;
	/** Whether the connection is closed because the rest of the request is not read. */
	readonly isClosing?: boolean;
};

/** Returns `false` if the caller has disconnected or part of an answer was already sent. */
export const sendLocalReply = (response: http.ServerResponse, {status, message, retryAfterMs, isClosing = false}: LocalReply): boolean => {
	if (response.destroyed || response.headersSent) {
		return false;
	}

	const body = JSON.stringify({error: {status, message}});
	response.writeHead(status, {
		'content-type': 'application/json', 'content-length': body.length,
		...(retryAfterMs !== undefined && {'retry-after': (retryAfterMs / 1000).toFixed(2)}),
		...(isClosing && {connection: 'close'}),
	});
	response.end(body);
	return true;
};
