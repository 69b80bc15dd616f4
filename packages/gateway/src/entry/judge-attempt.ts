import type {Buffer} from 'node:buffer';
import {
	hasFreshReport, noteFailure, noteNoConnection, noteSuccess, takeAttempt, type Candidate, type Placement,
} from '@bitternpaddle/coordination';
import type {AnswerHead, AttemptResult, BreakCause} from './attempt.js';
import type {CallContext} from './call-context.js';
import {askedVersion} from './call-headers.js';
import type {CallProgress} from './call-progress.js';
import {
	endStream, exhaustedRetryMs, giveUp, passAnswer, refuseQuarantined,
} from './finish-call.js';
import {isIdempotent, type Call} from './gateway-call.js';

/** Endpoints that are tried in vain to connect to: each costs a connect timeout at worst. */
const maxUnreachable = 3;

/** Takes the end of an attempt into account; `true` if the caller has its final answer. */
export const isFinal = (context: CallContext, call: Call, progress: CallProgress, {candidate}: Placement, result: AttemptResult): boolean => {
	switch (result.type) {
		case 'streamed': {
			context.quarantine.noteCompleted(call);
			noteSuccess(candidate.health);
			endStream(context, call, progress, result.head);
			return true;
		}

		case 'answered': {
			context.quarantine.noteCompleted(call);
			return isAnswerFinal(context, call, progress, candidate, result);
		}

		case 'refused': {
			progress.sent++;
			progress.lastReason = `the endpoint answered ${result.head.status} and did not run it`;
			noteRefused(context, candidate, result.head, askedVersion(context, call, candidate) !== null);
			return !maySendAgain(context, call, progress);
		}

		case 'unsent': {
			progress.unreachable++;
			progress.lastReason = result.reason;
			noteAttemptFailed(context, call, candidate, result.reason);
			noteNoConnection(candidate.health, context.nowMs());
			if (result.isRefused) {
				context.quarantine.noteEnded(candidate.announcement.address);
			}

			return progress.unreachable > maxUnreachable && giveUp(context, call, progress, progress.lastReason, retryAfterMs(context, call)) === null;
		}

		case 'broken': {
			progress.sent++;
			progress.mayHaveRun = true;
			progress.lastReason = result.reason;
			noteAttemptFailed(context, call, candidate, result.reason, result.cause);
			noteEndpointFailure(context, call, candidate);
			noteDisconnected(context, call, candidate, result);
			return !maySendAgain(context, call, progress);
		}

		case 'aborted': {
			progress.sent++;
			progress.mayHaveRun = true;
			endAborted(context, call, progress);
			return true;
		}
	}
};

/** An endpoint that leaves ends its connections as one that crashes does. */
const noteDisconnected = ({quarantine}: CallContext, call: Call, {announcement: {address, state}, load: {isLeaving}}: Candidate, {cause, stage}: Extract<AttemptResult, {type: 'broken'}>): void => {
	if (cause === 'disconnected' && state === 'ready' && !isLeaving) {
		quarantine.noteBroken(call, address, stage);
	}
};

const endAborted = (context: CallContext, call: Call, progress: CallProgress): void => {
	const verdict = context.quarantine.verdictOn(call);
	if (verdict === null) {
		giveUp(context, call, progress, 'the deadline passed');
	} else {
		refuseQuarantined(context, call, progress, verdict);
	}
};

/** Statuses that promise a caller that its request has not run. */
const promises: ReadonlySet<number> = new Set([408, 429, 503]);

/** Why an answer must not be passed on; `null` if it may be. */
const faultOf = ({protocol}: CallContext, call: Call, {status, headers}: AnswerHead): string | null => {
	if (status < 300 && headers[protocol.headers.signature] === undefined) {
		return 'the answer bears no signature';
	}

	// Without the endpoint's word that it did not run the request, these would promise what nobody knows.
	return promises.has(status) && !isIdempotent(call) ? `the endpoint answered ${status} and does not say that it did not run it` : null;
};

const isAnswerFinal = (context: CallContext, call: Call, progress: CallProgress, candidate: Candidate, {head, body}: Extract<AttemptResult, {type: 'answered'}>): boolean => {
	const fault = faultOf(context, call, head);
	if (fault !== null || head.status >= 500) {
		progress.sent++;
		progress.mayHaveRun = true;
		progress.lastReason = fault ?? `the endpoint answered ${head.status}`;
		noteAttemptFailed(context, call, candidate, progress.lastReason);
		noteEndpointFailure(context, call, candidate);
		if (isIdempotent(call) && canSendAgain(context, call, progress)) {
			return false;
		}

		if (fault !== null) {
			giveUp(context, call, progress, progress.lastReason);
			return true;
		}
	} else {
		noteSuccess(candidate.health);
	}

	passAnswer(context, call, head, body);
	return true;
};

const noteRefused = ({view, nowMs}: CallContext, {announcement, load, health}: Candidate, {status}: AnswerHead, isVersionAsked: boolean): void => {
	if (status === 421) {
		// Another start of the endpoint, or other weights than its own host last told.
		load.reportedAtMs = Number.NEGATIVE_INFINITY;
		if (isVersionAsked) {
			noteNoConnection(health, nowMs());
		} else {
			view.end(announcement.id);
		}

		return;
	}

	// It is full, whatever was known of it.
	load.told = {active: announcement.slots * 2, atMs: nowMs()};
};

const noteAttemptFailed = ({logger}: CallContext, call: Call, {announcement}: Candidate, reason: string, cause: BreakCause | null = null): void => {
	logger.event('BP4024', {
		requestId: call.requestId, endpointId: announcement.id, address: announcement.address, reason,
		...(cause !== null && {cause, fingerprint: call.fingerprint()}),
	});
};

const noteEndpointFailure = ({view, logger, nowMs}: CallContext, {service}: Call, candidate: Candidate): void => {
	const now = nowMs();
	if (hasFreshReport(candidate.load, now) && candidate.load.report!.isBusy) {
		// It loads a version, and cut what was left: no fault.
		return;
	}

	const others = view.candidates(service.name, now).filter(other => other !== candidate);
	const usualShare = others.length === 0 ? 1 : others.reduce((sum, {health}) => sum + health.failureShare, 0) / others.length;
	if (noteFailure(candidate.health, usualShare, now)) {
		logger.event('BP4026', {endpointId: candidate.announcement.id, untilMs: Math.round(candidate.health.restUntilMs - now)});
	}
};

/** Whether the request may be sent to one more endpoint; takes that from the allowance. */
const canSendAgain = (context: CallContext, call: Call, progress: CallProgress): boolean => {
	const isAllowed = !progress.mayHaveRun || isIdempotent(call);
	return isAllowed && !call.ended.signal.aborted && progress.sent < call.route.maxAttempts
		&& takeAttempt(context.allowance(call.service.name), context.retryReserve(), context.nowMs());
};

const maySendAgain = (context: CallContext, call: Call, progress: CallProgress): boolean => {
	if (canSendAgain(context, call, progress)) {
		return true;
	}

	giveUp(context, call, progress, progress.lastReason, retryAfterMs(context, call));
	return false;
};

/** The retry delay for a caller whose attempts are used up: at least until the first endpoint is no longer paused. */
const retryAfterMs = ({view, nowMs}: CallContext, {service}: Call): number => {
	const now = nowMs();
	const remainingPausesMs = view.candidates(service.name, now).filter(({load}) => !load.isLeaving).map(({load}) => load.pausedUntilMs - now);
	return remainingPausesMs.length === 0 ? exhaustedRetryMs : Math.max(exhaustedRetryMs, Math.min(...remainingPausesMs));
};
