import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {createEventGate, passEvents} from '@bitternpaddle/coordination';
import {
	adapterHeader, errorResponseOf, hostHeader, requestIdHeader, versionHeader, type ErrorBody,
} from '@bitternpaddle/protocol';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import {
	createBodyCollector, readLimits, sendJson, whenDrained, type Logger, type Metrics,
} from '@bitternpaddle/transport';
import type {Call, Refusal} from './call.js';
import type {AttemptAnswer} from './dispatch.js';

export type RelayOptions = {readonly logger: Logger; readonly metrics?: Metrics};

/** Sends callers their answers, or errors in the fixed format. */
export type Relay = {
	sendVerdict(call: Call, verdict: UnansweredVerdict): void;
	/** Streams the answer to the caller; a truncated answer is truncated for the caller too. */
	stream(call: Call, answer: AttemptAnswer): Promise<void>;
	/** Reads the complete answer before anything is sent to the caller, so that a broken answer can become an error: `null`. */
	collect(requestId: string, answer: AttemptAnswer): Promise<Buffer | null>;
	sendCollected(call: Call, answer: AttemptAnswer, body: Buffer): void;
};

export const createRelay = ({logger, metrics}: RelayOptions): Relay => ({
	sendVerdict(call, verdict) {
		logger.event(verdict.type === 'notRun' ? 'BP2001' : 'BP2002', {requestId: call.requestId, reason: verdict.reason});
		call.trace.refused(verdict);
		metrics?.increment('entry.verdict', {verdict: verdict.type});
		const {status, headers, body} = errorResponseOf(verdict, call.requestId);
		sendJson(call.response, status, body, {...headers, [requestIdHeader]: call.requestId});
	},
	async stream(call, answer) {
		const {response, requestId} = call;
		const isEvents = answer.headers['content-type']?.startsWith('text/event-stream') ?? false;
		const gate = createEventGate();
		response.writeHead(answer.status, answerHeaders(answer, requestId));
		try {
			for await (const part of answer.parts()) {
				call.trace.firstByte();
				await writeWithBackpressure(response, isEvents ? passEvents(gate, part) : part, answer);
			}
		} catch (error) {
			logger.event('BP2003', {requestId, reason: (error as Error).message});
			call.trace.cut();
			response.destroy();
			return;
		}

		response.end(gate.held);
	},
	async collect(requestId, answer) {
		const collector = createBodyCollector();
		try {
			for await (const part of answer.parts()) {
				if (collector.sizeBytes() + part.length > readLimits.answer) {
					throw new Error('the answer is too large');
				}

				collector.add(part);
			}
		} catch (error) {
			logger.event('BP2003', {requestId, reason: (error as Error).message});
			return null;
		}

		return collector.take();
	},
	sendCollected(call, answer, body) {
		call.response.writeHead(answer.status, {...answerHeaders(answer, call.requestId), 'content-length': body.length});
		call.response.end(body);
	},
});

/** Applies backpressure: waits for a slow caller instead of buffering data for it. */
const writeWithBackpressure = async (response: http.ServerResponse, data: Buffer, answer: AttemptAnswer): Promise<void> => {
	if (data.length === 0 || response.write(data) || response.destroyed) {
		return;
	}

	answer.monitorSilence(false);
	await whenDrained(response);
	answer.monitorSilence(true);
};

const answerHeaders = (answer: AttemptAnswer, requestId: string): http.OutgoingHttpHeaders => ({
	'content-type': answer.headers['content-type'] ?? 'application/json',
	[requestIdHeader]: requestId,
	[hostHeader]: answer.headers[hostHeader],
	...(answer.headers[versionHeader] === undefined ? {} : {[versionHeader]: answer.headers[versionHeader]}),
	...(answer.headers[adapterHeader] === undefined ? {} : {[adapterHeader]: answer.headers[adapterHeader]}),
});

export const sendRefusal = (response: http.ServerResponse, {status, type, message}: Refusal, headers: http.OutgoingHttpHeaders = {}): void => {
	const body: ErrorBody = {
		error: {
			type, message, requestId: null, retryAfterMs: null,
		},
	};
	sendJson(response, status, body, headers);
};
