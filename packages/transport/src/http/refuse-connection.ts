import http from 'node:http';
import type {Duplex} from 'node:stream';

type Refusal = {readonly status: number; readonly message: string};

const refusalOf = ({code}: NodeJS.ErrnoException): Refusal => {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return {status: 431, message: `the head of the request is larger than ${http.maxHeaderSize} bytes`};
	}

	return code === 'ERR_HTTP_REQUEST_TIMEOUT'
		? {status: 408, message: 'the request did not arrive in time'}
		: {status: 400, message: 'this is not an HTTP request'};
};

/** A request on a connection and the response to it. */
export type Exchange = {readonly request: http.IncomingMessage; readonly response: http.ServerResponse};

/** Responds to data that is not a complete HTTP request, and closes the connection. */
export const refuseConnection = (socket: Duplex, error: NodeJS.ErrnoException, exchange: Exchange | undefined): void => {
	const {status, message} = refusalOf(error);
	const body = JSON.stringify({error: {type: 'invalid_request', message}});
	const headers = {'content-type': 'application/json', 'content-length': body.length, connection: 'close'};
	if (exchange !== undefined) {
		// The invalid data follows a complete request, or the response has started: an error written now would be taken for that request's response. The connection is closed without one.
		if (exchange.request.complete || exchange.response.headersSent) {
			socket.destroy();
			return;
		}

		exchange.response.writeHead(status, headers).end(body);
		return;
	}

	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
	socket.end([`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`, ...lines, '', body].join('\r\n'));
};
