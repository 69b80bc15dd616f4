import type http from 'node:http';
import {endAndClose} from '@bitternpaddle/transport';

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
	const headers = retryAfterMs === undefined ? {} : {'retry-after': (retryAfterMs / 1000).toFixed(2)};
	if (isClosing) {
		endAndClose(response.req, response, status, body, headers);
		return true;
	}

	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length, ...headers});
	response.end(body);
	return true;
};
