import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {Verdict} from '@bitternpaddle/coordination';
import {sendOwnAnswer, type OwnAnswer} from './answer.js';
import type {AnswerHead} from './attempt.js';
import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';
import {answerHeaders} from './forwarded-headers.js';
import type {Call} from './gateway-call.js';

/** Less than this is left: nothing can be sent and answered any more. */
export const leastRemainingMs = 15;
/** When a caller should come back whose request was refused by the endpoints that it was sent to. */
export const exhaustedRetryMs = 1000;

/** An answer without a length and not in chunks ends with its connection. */
const isUnframed = ({headers}: AnswerHead): boolean => headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;

/**
 * Begins an answer framed as its endpoint framed it. Whether one that ends with
 * its connection is whole, nobody can tell: an endpoint that dies ends it in the
 * same way. With a length or an end of chunks the entry would vouch for it.
 */
const beginAnswer = (response: http.ServerResponse, head: AnswerHead, headers: http.OutgoingHttpHeaders = {}): void => {
	if (isUnframed(head)) {
		response.shouldKeepAlive = false;
		response.removeHeader('transfer-encoding');
		response.writeHead(head.status, answerHeaders(head.headers));
	} else {
		response.writeHead(head.status, {...answerHeaders(head.headers), ...headers});
	}
};

/** A stream keeps the head of the endpoint that began it, whoever goes on with it. */
export const passEvents = (response: http.ServerResponse, head: AnswerHead, events: Buffer): void => {
	if (response.destroyed) {
		return;
	}

	if (!response.headersSent) {
		beginAnswer(response, head);
	}

	response.write(events);
};

/** An endpoint's whole answer. */
export const passAnswer = ({metrics, logger, nowMs}: CallContext, call: Call, head: AnswerHead, body: Buffer): void => {
	const {response, requestId, service, receivedAtMs} = call;
	metrics.request(service.name, String(head.status));
	logger.event('BP4020', {requestId, status: head.status, tookMs: Math.round(nowMs() - receivedAtMs)});
	if (!response.destroyed && !response.headersSent) {
		beginAnswer(response, head, {'content-length': body.length});
		response.end(body);
	} else if (response.headersSent) {
		// A stream that another endpoint was to go on with was answered in another way: the caller must see a cut.
		response.destroy();
	}
};

/** The end of a whole stream. */
export const endStream = ({metrics, logger, nowMs}: CallContext, call: Call, {firstByteMs, expectedMs}: CallProgress, head: AnswerHead): void => {
	const {response, requestId, service, receivedAtMs} = call;
	metrics.request(service.name, String(head.status));
	logger.event('BP4020', {
		requestId, status: head.status, firstByteMs, expectedMs, hasComeBack: call.hasComeBack, tookMs: Math.round(nowMs() - receivedAtMs),
	});
	if (!response.destroyed) {
		if (!response.headersSent) {
			beginAnswer(response, head);
		}

		response.end();
	}
};

const ownAnswerOf = (call: Call, {mayHaveRun, sent}: CallProgress, message: string, retryAfterMs: number | undefined, nowMs: number): OwnAnswer => {
	if (!mayHaveRun) {
		// 503 is a promise: not run, and never will be.
		return {status: 503, message: sent === 0 ? message : `not run: ${message}`, retryAfterMs: retryAfterMs ?? exhaustedRetryMs};
	}

	return nowMs >= call.deadlineAtMs - leastRemainingMs ? {status: 504, message: `may have run: ${message}`} : {status: 502, message: `may have run: ${message}`};
};

/** Gives the caller its final answer, or a cut if part of one was sent. */
export const giveUp = ({metrics, logger, nowMs}: CallContext, call: Call, progress: CallProgress, message: string, retryAfterMs?: number): null => {
	const {response, requestId, service} = call;
	if (response.destroyed) {
		metrics.request(service.name, 'left');
		logger.event('BP4025', {requestId, sent: progress.sent});
		return null;
	}

	const answer = ownAnswerOf(call, progress, message, retryAfterMs, nowMs());
	metrics.request(service.name, String(answer.status));
	logger.event(progress.mayHaveRun ? 'BP4022' : 'BP4021', {
		requestId, status: answer.status, reason: message, sent: progress.sent, unreachable: progress.unreachable, retryAfterMs: answer.retryAfterMs, hasEvents: progress.hasEvents,
		hasComeBack: call.hasComeBack, heldMs: Math.round(nowMs() - call.receivedAtMs),
	});
	if (response.headersSent) {
		response.destroy();
	} else {
		sendOwnAnswer(response, answer);
	}

	return null;
};

/**
 * A request that ends the endpoints that run it gets its final answer, whether it
 * ran or not: repeated, it would only end more of them.
 */
export const refuseQuarantined = (context: CallContext, call: Call, progress: CallProgress, {fingerprint, evidence, untilMs}: Verdict): null => {
	const {metrics, logger, nowMs} = context;
	const {response, requestId, service} = call;
	if (response.destroyed) {
		return giveUp(context, call, progress, 'the caller left');
	}

	const status = 400;
	const remainingS = Math.ceil((untilMs - nowMs()) / 1000);
	metrics.request(service.name, String(status));
	metrics.count('quarantine_refusals', 'Requests that were refused because they end endpoints.');
	logger.event('BP4021', {
		requestId, status, reason: 'endpoints end under this request', fingerprint, ends: evidence.length, sent: progress.sent, heldMs: Math.round(nowMs() - call.receivedAtMs),
	});
	if (response.headersSent) {
		response.destroy();
	} else {
		sendOwnAnswer(response, {status, message: `${evidence.length} endpoints ended while they had this request; it is sent to no other for ${remainingS} s`});
	}

	return null;
};
