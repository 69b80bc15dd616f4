import type http from 'node:http';

/**
 * Closes the connection of an answer that is not complete. If the answer has neither a
 * length nor chunks, the caller takes the ordinary end of its connection for the end of
 * the answer, so the connection is reset.
 */
export const cutConnection = (response: http.ServerResponse): void => {
	if (response.headersSent && !response.chunkedEncoding) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};
