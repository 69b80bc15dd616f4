import type http from 'node:http';

/**
 * Closes the connection of an answer that is not complete. A caller that speaks HTTP/1.0
 * gets a stream without chunks and takes the ordinary end of its connection for the end of
 * the answer, so the connection is reset.
 */
export const cutConnection = (response: http.ServerResponse): void => {
	if (response.headersSent && !response.chunkedEncoding) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};
