import type {Buffer} from 'node:buffer';
import {
	hasFreshReport, recordFailure, recordConnectionFailure, recordSuccess, type AnswerStage, type Candidate, type Placement,
} from '@bitternpaddle/coordination';
import {
	hasBody, isUnframed, type AnswerHead, type AttemptResult, type FailureCause, type Oversize, type SendExclusion,
} from './attempt.js';
import type {CallContext} from './call-context.js';
import {requestedVersion} from './call-headers.js';
import type {CallProgress} from './call-progress.js';
import {chargeRetry} from './charge-retry.js';
import {
	finishStream, exhaustedRetryMs, failCall, failCancelled, forwardAnswer, refuseQuarantined,
} from './finish-call.js';
import {isIdempotent, type Call} from './gateway-call.js';

/** Failed connection attempts before a call fails; each may take up to a connect timeout. */
const maxUnreachable = 3;

/** Processes the result of an attempt; `true` if the caller has its final answer. */
export const handleAttemptResult = async (context: CallContext, call: Call, progress: CallProgress, {candidate}: Placement, result: AttemptResult): Promise<boolean> => {
	switch (result.type) {
		case 'streamed': {
			recordAnswerEnd(context, call, candidate, result, progress.hasEvents ? 'answering' : 'begun');
			recordSuccess(candidate.health);
			finishStream(context, call, progress, result.head);
			return true;
		}

		case 'answered': {
			recordAnswerEnd(context, call, candidate, result, 'begun');
			return handleAnswer(context, call, progress, candidate, result);
		}

		case 'refused':
		case 'broken': {
			recordUnanswered(context, call, progress, candidate, result);
			return !await retryOrFail(context, call, progress);
		}

		case 'unsent': {
			recordUnanswered(context, call, progress, candidate, result);
			return progress.unreachable > maxUnreachable && failCall(context, call, progress, progress.lastReason, retryAfterMs(context, call)) === null;
		}

		case 'excluded': {
			recordUnanswered(context, call, progress, candidate, result);
			return false;
		}

		case 'aborted': {
			recordUnanswered(context, call, progress, candidate, result);
			failAborted(context, call, progress);
			return true;
		}
	}
};

type Unanswered = Extract<AttemptResult, {type: 'refused' | 'unsent' | 'broken' | 'excluded' | 'aborted'}>;

/** Records an attempt without an answer, without a decision about its request. */
const recordUnanswered = (context: CallContext, call: Call, progress: CallProgress, candidate: Candidate, result: Unanswered): void => {
	switch (result.type) {
		case 'refused': {
			progress.sent++;
			progress.lastReason = `the endpoint answered ${result.head.status} and did not run it`;
			recordRefusal(context, candidate, result.head, requestedVersion(context, call, candidate) !== null);
			break;
		}

		case 'unsent': {
			progress.unreachable++;
			progress.lastReason = result.reason;
			logAttemptFailure(context, call, candidate, result.reason);
			recordConnectionFailure(candidate.health, context.nowMs());
			if (result.isRefused) {
				context.quarantine.recordExit(candidate.announcement.address);
			}

			break;
		}

		case 'broken': {
			progress.sent++;
			progress.mayHaveRun = true;
			progress.lastReason = result.reason;
			progress.isEndpointAtWork = result.cause === 'silent' || result.cause === 'outdated';
			if (result.cause !== 'silent') {
				logAttemptFailure(context, call, candidate, result.reason, result.cause);
				recordOversize(context, call, candidate, result.oversize);
				if (result.cause !== 'unconfirmed') {
					recordEndpointFailure(context, call, candidate);
				}

				recordDisconnected(context, call, candidate, result);
			}

			break;
		}

		case 'excluded': {
			// Nothing was sent: the attempt does not count, and the endpoint is at no fault.
			progress.triedIds.delete(candidate.announcement.id);
			logExcluded(context, call, candidate, result.exclusion);
			break;
		}

		case 'aborted': {
			progress.sent++;
			progress.mayHaveRun = true;
			progress.isEndpointAtWork = true;
			break;
		}
	}
};

const logExcluded = ({logger}: CallContext, {requestId}: Call, {announcement: {id, address, zoneId}}: Candidate, exclusion: SendExclusion): void => {
	logger.event('BP4055', {
		requestId, endpointId: id, address, zoneId, exclusion,
	});
};

/** Records that an endpoint has been silent for longer than the timeout; the attempt may still go on. */
export const recordSilence = (context: CallContext, call: Call, {candidate}: Placement): void => {
	logAttemptFailure(context, call, candidate, 'the endpoint was silent for longer than the timeout', 'silent');
	recordEndpointFailure(context, call, candidate);
};

/** Records an attempt whose request another endpoint answers, or continues to answer. */
export const recordReplaced = (context: CallContext, call: Call, progress: CallProgress, {candidate}: Placement, result: AttemptResult): void => {
	if (result.type === 'answered' || result.type === 'streamed') {
		recordFailedAnswer(context, call, progress, candidate, `the endpoint answered ${result.head.status}`);
	} else {
		recordUnanswered(context, call, progress, candidate, result);
	}
};

/** Whether the head begins an answer that can take the place of a silent attempt's. */
export const canReplace = ({protocol}: CallContext, {hasEvents}: CallProgress, {status, headers}: AnswerHead): boolean => status < 300
	&& headers[protocol.headers.signature] !== undefined && headers[protocol.headers.notRun] === undefined
	&& (!hasEvents || (headers['content-type'] ?? '').startsWith('text/event-stream'));

const mayBeCut = ({request}: Call, head: AnswerHead): boolean => isUnframed(head) && hasBody(request.method, head.status);

type AnswerEnd = Extract<AttemptResult, {type: 'answered' | 'streamed'}>;

const recordAnswerEnd = ({quarantine}: CallContext, call: Call, {announcement: {id, address, state}, load: {isLeaving}}: Candidate, {head, answeringMs}: AnswerEnd, stage: AnswerStage): void => {
	const isSuccess = head.status < 300;
	if (!mayBeCut(call, head)) {
		quarantine.recordCompletion(call, isSuccess ? address : undefined);
	} else if (state === 'ready' && !isLeaving) {
		quarantine.recordConnectionEnd(call, {id, address}, stage, {isSuccess, answeringMs});
	}
};

/** Ignores endpoints that are leaving: they close their connections in the same way as a crashing endpoint. */
const recordDisconnected = ({quarantine}: CallContext, call: Call, {announcement: {address, state}, load: {isLeaving}}: Candidate, result: Extract<AttemptResult, {type: 'broken'}>): void => {
	const {cause, stage, answeringMs} = result;
	if (cause === 'disconnected' && state === 'ready' && !isLeaving) {
		quarantine.recordDisconnect(call, address, stage, answeringMs);
	}
};

const failAborted = (context: CallContext, call: Call, progress: CallProgress): void => {
	const verdict = context.quarantine.verdictOn(call);
	if (verdict === null) {
		failCancelled(context, call, progress);
	} else {
		refuseQuarantined(context, call, progress, verdict);
	}
};

/** Statuses that guarantee to a caller that its request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503]);

/** Why an answer must not be forwarded; `null` if it may be. */
const answerFaultOf = ({protocol}: CallContext, call: Call, {status, headers}: AnswerHead): string | null => {
	if (status < 300 && headers[protocol.headers.signature] === undefined) {
		return 'the answer has no signature header';
	}

	// Unless the endpoint states that it did not run the request, these statuses would give a guarantee that is not confirmed.
	return notRunStatuses.has(status) && !isIdempotent(call) ? `the endpoint answered ${status} without stating that it did not run the request` : null;
};

const handleAnswer = async (context: CallContext, call: Call, progress: CallProgress, candidate: Candidate, {head, body}: Extract<AttemptResult, {type: 'answered'}>): Promise<boolean> => {
	const fault = answerFaultOf(context, call, head);
	if (fault !== null || head.status >= 500) {
		recordFailedAnswer(context, call, progress, candidate, fault ?? `the endpoint answered ${head.status}`);
		if (isIdempotent(call) && await takeRetry(context, call, progress)) {
			return false;
		}

		if (fault !== null) {
			failCall(context, call, progress, progress.lastReason);
			return true;
		}
	} else {
		recordSuccess(candidate.health);
	}

	forwardAnswer(context, call, progress, head, body);
	return true;
};

const recordFailedAnswer = (context: CallContext, call: Call, progress: CallProgress, candidate: Candidate, reason: string): void => {
	progress.sent++;
	progress.mayHaveRun = true;
	progress.lastReason = reason;
	logAttemptFailure(context, call, candidate, reason);
	recordEndpointFailure(context, call, candidate);
};

const recordRefusal = ({view, nowMs}: CallContext, {announcement, load, health}: Candidate, {status}: AnswerHead, hasRequestedVersion: boolean): void => {
	if (status === 421) {
		// Another start of the endpoint runs there, or another weight version than its host last reported.
		load.reportedAtMs = Number.NEGATIVE_INFINITY;
		if (hasRequestedVersion) {
			recordConnectionFailure(health, nowMs());
		} else {
			view.markReplaced(announcement.id);
		}

		return;
	}

	// The endpoint is full, whatever its last report was.
	load.refusal = {atMs: nowMs(), active: load.active?.latest ?? announcement.slots};
	load.advertisedLoad = {
		active: announcement.slots * 2, slots: announcement.slots, slowdown: null, atMs: nowMs(),
	};
};

const logAttemptFailure = ({logger}: CallContext, call: Call, {announcement}: Candidate, reason: string, cause: FailureCause | null = null): void => {
	logger.event('BP4024', {
		requestId: call.requestId, endpointId: announcement.id, address: announcement.address, reason,
		...(cause !== null && {cause, fingerprint: call.fingerprint(), promptParts: call.promptParts()}),
	});
};

const recordOversize = ({logger, metrics}: CallContext, {requestId}: Call, {announcement: {id, address}}: Candidate, oversize: Oversize | null): void => {
	if (oversize !== null) {
		metrics.oversized(oversize.part);
		logger.event('BP4070', {
			requestId, endpointId: id, address, ...oversize,
		});
	}
};

const recordEndpointFailure = ({view, logger, nowMs}: CallContext, {service}: Call, candidate: Candidate): void => {
	const now = nowMs();
	if (hasFreshReport(candidate.load, now) && candidate.load.report!.isBusy) {
		// The engine is loading a version and aborted the remaining requests, which is not a failure.
		return;
	}

	const others = view.candidates(service.name, now).filter(other => other !== candidate);
	const usualShare = others.length === 0 ? 1 : others.reduce((sum, {health}) => sum + health.failureShare, 0) / others.length;
	if (recordFailure(candidate.health, usualShare, now)) {
		logger.event('BP4026', {endpointId: candidate.announcement.id, untilMs: Math.round(candidate.health.backoffUntilMs - now)});
	}
};

/** Whether the request may be sent to one more endpoint; if so, the call holds a charge for it. */
const takeRetry = async (context: CallContext, call: Call, progress: CallProgress): Promise<boolean> => {
	const isAllowed = !progress.mayHaveRun || isIdempotent(call);
	if (!isAllowed || call.cancellation.signal.aborted || progress.sent >= call.route.maxAttempts) {
		return false;
	}

	return chargeRetry(context, call, progress);
};

const retryOrFail = async (context: CallContext, call: Call, progress: CallProgress): Promise<boolean> => {
	if (await takeRetry(context, call, progress)) {
		return true;
	}

	failCall(context, call, progress, progress.lastReason, retryAfterMs(context, call));
	return false;
};

/** The retry delay for a caller whose attempts are used up: at least until the first endpoint is no longer paused. */
const retryAfterMs = ({view, permission, nowMs}: CallContext, call: Call): number => {
	const now = nowMs();
	const {candidates} = permission.permittedEndpoints(call, view.candidates(call.service.name, now));
	const remainingPausesMs = candidates.filter(({load}) => !load.isLeaving).map(({load}) => load.pausedUntilMs - now);
	return remainingPausesMs.length === 0 ? exhaustedRetryMs : Math.max(exhaustedRetryMs, Math.min(...remainingPausesMs));
};
