import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	errorResponseOf, hostHeader, requestIdHeader, versionHeader, type ErrorBody,
} from '@bitternpaddle/protocol';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import {
	readBody, sendJson, type Logger, type Metrics,
} from '@bitternpaddle/transport';
import type {Call, Refusal} from './call.js';
import {isWholeAnswer} from './dispatch.js';

const answerLimitBytes = 16 * 1024 * 1024;

export type RelayOptions = {readonly logger: Logger; readonly metrics?: Metrics};

/** Gives callers their answers, whole or as an error of the fixed shape. */
export type Relay = {
	sendVerdict(call: Call, verdict: UnansweredVerdict): void;
	/** Passes the answer on as it comes; a cut one is cut for the caller too. */
	stream(call: Call, answer: http.IncomingMessage): Promise<void>;
	/** Reads the answer before anything is said to the caller, so that a broken one becomes an error: `null`. */
	collect(call: Call, answer: http.IncomingMessage): Promise<Buffer | null>;
	sendCollected(call: Call, answer: http.IncomingMessage, body: Buffer): void;
};

export const createRelay = ({logger, metrics}: RelayOptions): Relay => ({
	sendVerdict(call, verdict) {
		logger.event(verdict.type === 'notRun' ? 'BP2001' : 'BP2002', {requestId: call.requestId, reason: verdict.reason});
		metrics?.increment('entry.verdict', {verdict: verdict.type});
		const {status, headers, body} = errorResponseOf(verdict, call.requestId);
		sendJson(call.response, status, body, {...headers, [requestIdHeader]: call.requestId});
	},
	async stream(call, answer) {
		const {response, requestId} = call;
		let sizeBytes = 0;
		response.writeHead(answer.statusCode!, answerHeaders(answer, requestId));
		try {
			for await (const part of answer as AsyncIterable<Buffer>) {
				sizeBytes += part.length;
				response.write(part);
			}
		} catch {
			sizeBytes = -1;
		}

		if (isWholeAnswer(answer, requestId, sizeBytes)) {
			response.end();
			return;
		}

		logger.event('BP2003', {requestId});
		response.destroy();
	},
	async collect(call, answer) {
		const body = await readBody(answer, answerLimitBytes).catch(() => null);
		if (body !== null && isWholeAnswer(answer, call.requestId, body.length)) {
			return body;
		}

		logger.event('BP2003', {requestId: call.requestId});
		return null;
	},
	sendCollected(call, answer, body) {
		call.response.writeHead(answer.statusCode!, {...answerHeaders(answer, call.requestId), 'content-length': body.length});
		call.response.end(body);
	},
});

const answerHeaders = (answer: http.IncomingMessage, requestId: string): http.OutgoingHttpHeaders => ({
	'content-type': answer.headers['content-type'] ?? 'application/json',
	[requestIdHeader]: requestId,
	[hostHeader]: answer.headers[hostHeader],
	...(answer.headers[versionHeader] === undefined ? {} : {[versionHeader]: answer.headers[versionHeader]}),
});

export const sendRefusal = (response: http.ServerResponse, {status, type, message}: Refusal, headers: http.OutgoingHttpHeaders = {}): void => {
	const body: ErrorBody = {
		error: {
			type, message, requestId: null, retryAfterMs: null,
		},
	};
	sendJson(response, status, body, headers);
};
