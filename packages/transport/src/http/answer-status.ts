import type http from 'node:http';

/** Statuses that end a request. The HTTP parser also passes on 000 to 099 and 600 to 999, which have no meaning, and 101 without an upgrade. */
const finalStatuses = {first: 200, last: 599} as const;

export const isFinalStatus = (status: number): boolean => status >= finalStatuses.first && status <= finalStatuses.last;

export type AnswerListener = {
	/** Called with an answer whose status ends the request. */
	onAnswer(response: http.IncomingMessage): void;
	/** Called if the server sent something else in its place, or closed the connection without an answer or an error; the connection is closed. */
	onInvalid(reason: string): void;
};

/**
 * Listens for the answer to a request. Node's client passes on statuses that its server
 * rejects with an exception, and emits neither an answer nor an error if the server
 * switches protocols, which no request here asks for.
 */
export const listenForAnswer = (request: http.ClientRequest, {onAnswer, onInvalid}: AnswerListener): void => {
	let isAnswered = false;
	request.on('response', response => {
		isAnswered = true;
		const status = response.statusCode!;
		if (isFinalStatus(status)) {
			onAnswer(response);
		} else {
			onInvalid(`status ${String(status).padStart(3, '0')} ends no request`);
			request.destroy();
		}
	});
	request.on('upgrade', (_response, socket) => {
		isAnswered = true;
		onInvalid('the protocol was switched without a request for it');
		socket.destroy();
	});
	request.on('close', () => {
		if (!isAnswered) {
			onInvalid('the connection was closed without an answer');
		}
	});
};
