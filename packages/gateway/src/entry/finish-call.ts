import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {idOfPart} from '@bitternpaddle/coordination';
import type {QuarantineVerdict} from '../quarantine/request-quarantine.js';
import {sendLocalReply, type LocalReply} from './local-reply.js';
import {hasBody, isUnframed, type AnswerHead} from './attempt.js';
import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';
import {truncateAnswer, type TruncationCause} from './truncate-answer.js';
import {answerHeaders} from './forwarded-headers.js';
import {cancelCauseOf, type Call, type CancelCause} from './gateway-call.js';

/** With less time than this before the deadline, a request can no longer be sent and answered. */
export const minRemainingMs = 15;
/** Retry delay for a caller whose request was refused by the endpoints that it was sent to. */
export const exhaustedRetryMs = 1000;

/**
 * Sends the head of an answer with the framing that the endpoint used. Whether an
 * answer that ends with its connection is complete cannot be determined: an endpoint
 * may break it off with the ordinary end of its connection. A length or a last chunk
 * added by the entry would mark it as complete.
 */
const beginAnswer = (response: http.ServerResponse, head: AnswerHead, framing: http.OutgoingHttpHeaders = {}): void => {
	if (isUnframed(head)) {
		response.shouldKeepAlive = false;
		response.removeHeader('transfer-encoding');
		response.writeHead(head.status, answerHeaders(head.headers));
	} else {
		response.writeHead(head.status, {...answerHeaders(head.headers), ...framing});
	}
};

/** An answer to HEAD has the length that an answer to GET would have. */
const framingOf = ({request}: Call, {status, headers}: AnswerHead, body: Buffer): http.OutgoingHttpHeaders => {
	const length = hasBody(request.method, status) ? body.length : headers['content-length'];
	return length === undefined ? {} : {'content-length': length};
};

/** A stream keeps the head of the endpoint that started it, also if another endpoint resumes it. */
export const forwardEvents = (response: http.ServerResponse, head: AnswerHead, events: Buffer): void => {
	if (response.destroyed) {
		return;
	}

	if (!response.headersSent) {
		beginAnswer(response, head);
	}

	response.write(events);
};

/** Forwards an endpoint's complete answer. */
export const forwardAnswer = (context: CallContext, call: Call, progress: CallProgress, head: AnswerHead, body: Buffer): void => {
	const {metrics, logger, nowMs} = context;
	const {response, requestId, service, receivedAtMs} = call;
	metrics.request(service.name, String(head.status));
	logger.event('BP4020', {
		requestId, status: head.status, isUnframed: isUnframed(head), tookMs: Math.round(nowMs() - receivedAtMs),
	});
	if (!response.destroyed && !response.headersSent) {
		beginAnswer(response, head, framingOf(call, head, body));
		response.end(body);
	} else if (response.headersSent) {
		// Another endpoint was to resume the stream but did not answer with a stream: the caller must see that the stream is incomplete.
		truncateAnswer(context, {
			requestId, response, cause: 'mismatch', reason: `the endpoint answered ${head.status} without a stream`, progress,
		});
	}
};

/** Ends a complete stream. */
export const finishStream = ({metrics, logger, nowMs}: CallContext, call: Call, {firstByteMs, expectedMs}: CallProgress, head: AnswerHead): void => {
	const {response, requestId, service, receivedAtMs} = call;
	metrics.request(service.name, String(head.status));
	logger.event('BP4020', {
		requestId, status: head.status, isUnframed: isUnframed(head), firstByteMs, expectedMs, hasComeBack: call.hasComeBack, tookMs: Math.round(nowMs() - receivedAtMs),
	});
	if (!response.destroyed) {
		if (!response.headersSent) {
			beginAnswer(response, head);
		}

		response.end();
	}
};

const localReplyFor = (call: Call, {mayHaveRun, sent}: CallProgress, message: string, retryAfterMs: number | undefined, nowMs: number): LocalReply => {
	if (!mayHaveRun) {
		// 503 guarantees that the request has not run and never will.
		return {status: 503, message: sent === 0 ? message : `not run: ${message}`, retryAfterMs: retryAfterMs ?? exhaustedRetryMs};
	}

	return nowMs >= call.deadlineAtMs - minRemainingMs ? {status: 504, message: `may have run: ${message}`} : {status: 502, message: `may have run: ${message}`};
};

const truncationCauseOf = (cause: CancelCause | null): TruncationCause => {
	switch (cause) {
		case 'deadline':
		case 'shutdown': {
			return cause;
		}

		case 'quarantined': {
			return 'quarantine';
		}

		case 'callerDisconnected':
		case null: {
			return 'attempt';
		}
	}
};

/** Retry delay for a caller whose request was cancelled by the shutdown before it ran; another entry can accept it at once. */
const shutdownRetryMs = 10;

/** Like `failCall`, for a request that was cancelled. */
export const failCancelled = (context: CallContext, call: Call, progress: CallProgress): null => cancelCauseOf(call) === 'shutdown'
	? failCall(context, call, progress, 'the grace period of the entry ended', shutdownRetryMs)
	: failCall(context, call, progress, 'the deadline passed');

/** Sends the caller its final answer, or closes the connection if part of an answer was already sent. */
export const failCall = (context: CallContext, call: Call, progress: CallProgress, message: string, retryAfterMs?: number): null => {
	const {metrics, logger, nowMs} = context;
	const {response, requestId, service} = call;
	if (response.destroyed) {
		metrics.request(service.name, 'left');
		logger.event('BP4025', {requestId, sent: progress.sent});
		return null;
	}

	const answer = localReplyFor(call, progress, message, retryAfterMs, nowMs());
	metrics.request(service.name, String(answer.status));
	logger.event(progress.mayHaveRun ? 'BP4022' : 'BP4021', {
		requestId, status: answer.status, reason: message, sent: progress.sent, unreachable: progress.unreachable, retryAfterMs: answer.retryAfterMs, hasEvents: progress.hasEvents,
		hasComeBack: call.hasComeBack, heldMs: Math.round(nowMs() - call.receivedAtMs), ...progress.refusedBy, ...context.permission.ruleFields(call),
	});
	if (response.headersSent) {
		truncateAnswer(context, {
			requestId, response, cause: truncationCauseOf(cancelCauseOf(call)), reason: message, progress,
		});
	} else {
		sendLocalReply(response, answer);
	}

	return null;
};

/** What a verdict quarantines, for the log and the caller. */
const describeVerdict = (verdict: QuarantineVerdict, nowMs: number): {readonly reason: string; readonly subject: string; readonly fields: Record<string, unknown>} => {
	switch (verdict.type) {
		case 'request': {
			return {reason: 'the request crashes the endpoints that run it', subject: 'this request', fields: {fingerprint: verdict.fingerprint}};
		}

		case 'part': {
			const {parts, evidence} = verdict;
			return {
				reason: 'a part of the prompt crashes the endpoints that run it', subject: `a request with the prompt part ${parts.map(part => idOfPart(part)).join(' and ')}`,
				fields: {
					promptParts: parts, endpoints: evidence.map(({address}) => address), agesMs: evidence.map(({atMs}) => Math.round(nowMs - atMs)), seenBy: evidence.map(({seenBy}) => seenBy),
				},
			};
		}
	}
};

/**
 * Sends the final answer to a request that crashes the endpoints that run it, whether
 * it ran or not: repeated, it would only crash more endpoints.
 */
export const refuseQuarantined = (context: CallContext, call: Call, progress: CallProgress, verdict: QuarantineVerdict): null => {
	const {evidence, untilMs} = verdict;
	const {metrics, logger, nowMs} = context;
	const {response, requestId, service} = call;
	if (response.destroyed) {
		return failCall(context, call, progress, 'the caller disconnected');
	}

	const status = 400;
	const {reason, subject, fields} = describeVerdict(verdict, nowMs());
	const remainingS = Math.ceil((untilMs - nowMs()) / 1000);
	metrics.request(service.name, String(status));
	metrics.count('quarantine_refusals', 'Requests that were refused because they end endpoints.');
	logger.event('BP4021', {
		requestId, status, reason, ...fields, ends: evidence.length, sent: progress.sent, heldMs: Math.round(nowMs() - call.receivedAtMs),
	});
	if (response.headersSent) {
		truncateAnswer(context, {
			requestId, response, cause: 'quarantine', reason, progress,
		});
	} else {
		sendLocalReply(response, {status, message: `${evidence.length} endpoints ended while they had ${subject}; it is not sent to another one for ${remainingS} s`});
	}

	return null;
};
