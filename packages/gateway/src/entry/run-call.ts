import {
	startWithinMs, recordArrival, recordLag, recordObjective, recordPause, recordRequest, type Candidate, type EndpointLoad, type PauseNotice, type Placement,
} from '@bitternpaddle/coordination';
import {sendAttempt, type AnswerHead, type AttemptResult} from './attempt.js';
import {attemptLimits} from './attempt-limits.js';
import type {CallContext} from './call-context.js';
import {versionDuesOf, endpointHeaders, loadedVersion} from './call-headers.js';
import {createCallProgress, type CallProgress} from './call-progress.js';
import {canPlaceAgain, findEndpoint} from './find-endpoint.js';
import {forwardEvents} from './finish-call.js';
import {isIdempotent, type Call, type CancelCause} from './gateway-call.js';
import {handleAttemptResult, mayTakeRetry} from './judge-attempt.js';

/** Sends a request to endpoints until one answers or no further attempt is allowed, and sends the caller its answer. */
export const runCall = async (context: CallContext, call: Call): Promise<void> => {
	const {nowMs} = context;
	const progress = createCallProgress();
	recordRequest(context.allowance(call.service.name), nowMs());
	recordObjective(context.objectives(call.service.name), call.route.objectiveMs, nowMs());
	const unwatch = context.quarantine.watch(call, () => {
		// An answer that has started continues: its outcome clears the request or confirms the verdict.
		if (!call.response.headersSent) {
			call.cancellation.abort('quarantined' satisfies CancelCause);
		}
	});
	try {
		await runAttempts(context, call, progress);
	} finally {
		unwatch();
	}
};

const runAttempts = async (context: CallContext, call: Call, progress: CallProgress): Promise<void> => {
	for (;;) {
		const placement = await findEndpoint(context, call, progress);
		if (placement === null) {
			return;
		}

		const result = await attempt(context, call, progress, placement);
		context.metrics.attempt(call.service.name, result.type);
		if (handleAttemptResult(context, call, progress, placement, result)) {
			return;
		}
	}
};

const attempt = async (context: CallContext, call: Call, progress: CallProgress, {candidate, expectedMs, lagMs}: Placement): Promise<AttemptResult> => {
	const {protocol, connections, metrics, logger, nowMs} = context;
	const {route, service} = call;
	const {announcement, load} = candidate;
	const startedAtMs = nowMs();
	const sequence = progress.triedIds.size;
	const key = nextAwaitedKey();
	const engineVersion = loadedVersion(context, call, candidate);
	progress.triedIds.add(announcement.id);
	recordArrival(context.sendRate(service.name), startedAtMs);
	load.outstanding++;
	load.awaiting.set(key, {promptTokens: call.promptTokens, sentAtMs: startedAtMs, expectedMs});
	logger.event('BP4023', {
		requestId: call.requestId, endpointId: announcement.id, address: announcement.address, attempt: sequence, expectedMs: Math.round(expectedMs),
		outstanding: load.outstanding, limitPerSecond: context.limits.perSecondOf(announcement), pausedForMs: remainingPauseMs(load, startedAtMs),
		reportAgeMs: Number.isFinite(load.reportedAtMs) ? Math.round(startedAtMs - load.reportedAtMs) : null,
	});
	const result = await sendAttempt({
		connections, headerNames: protocol.headers, address: announcement.address, method: call.request.method!, path: call.request.url!,
		headers: endpointHeaders(context, call, progress, candidate), requestId: call.requestId, body: call.body,
		requiresFreshConnection: !isIdempotent(call),
		limits: attemptLimits(call, candidate, {
			canRepeat: isIdempotent(call) && progress.sent + 1 < route.maxAttempts, canResend: () => mayTakeRetry(context, call) && canPlaceAgain(context, call, progress), nowMs,
		}),
		beginWithinMs: engineVersion === null ? null : startWithinMs(engineVersion, versionDuesOf(context, call), startedAtMs),
		signal: call.cancellation.signal,
		onHead(head) {
			recordLimit(context, candidate, head, startedAtMs);
			recordLeaving(context, candidate, head);
			handlePauseNotice(context, call, candidate, head);
		},
		onFirstByte(head) {
			const tookMs = nowMs() - startedAtMs;
			recordLoad(context, candidate, head);
			if (route.retryClass !== 'streaming') {
				load.awaiting.delete(key);
				metrics.firstByte(service.name, tookMs);
				recordLag(load, tookMs - expectedMs + lagMs, nowMs());
			}
		},
		onEvents(head, events, lastId) {
			if (load.awaiting.delete(key)) {
				const tookMs = nowMs() - startedAtMs;
				metrics.firstByte(service.name, tookMs);
				metrics.expectation(service.name, expectedMs, tookMs);
				recordLag(load, tookMs - expectedMs + lagMs, nowMs());
				progress.firstByteMs ??= Math.round(nowMs() - call.receivedAtMs);
				progress.expectedMs ??= Math.round(startedAtMs + expectedMs - call.receivedAtMs);
			}

			progress.lastEventId = lastId ?? progress.lastEventId;
			progress.hasEvents = true;
			progress.writtenBytes += events.length;
			forwardEvents(call.response, head, events);
		},
	});
	load.outstanding--;
	if (load.awaiting.delete(key) && result.type === 'broken') {
		recordLag(load, nowMs() - startedAtMs, nowMs());
	}

	if (result.type === 'refused') {
		recordLoad(context, candidate, result.head);
	}

	return result;
};

let lastAwaitedKey = 0;
const nextAwaitedKey = (): number => {
	lastAwaitedKey++;
	return lastAwaitedKey;
};

/** Time left of the endpoint's pause; 0 if none is in force. */
const remainingPauseMs = ({pausedUntilMs}: EndpointLoad, nowMs: number): number => Math.max(0, Math.round(pausedUntilMs - nowMs));

const recordLimit = ({protocol, limits}: CallContext, {announcement}: Candidate, {status, headers}: AnswerHead, sentAtMs: number): void => {
	// A 421 may come from another start of the endpoint, whose limit does not apply to this one.
	if (status !== 421) {
		limits.recordAnswer({
			announcement, notice: protocol.readLimit(headers), hasRun: status < 500 && headers[protocol.headers.notRun] === undefined, sentAtMs,
		});
	}
};

/** Answer statuses that may carry a pause; with any other status it is ignored. */
const pauseStatuses: ReadonlySet<number> = new Set([429, 503]);

const handlePauseNotice = ({protocol, logger, metrics, nowMs}: CallContext, {requestId}: Call, {announcement: {id, address}, load}: Candidate, {status, headers}: AnswerHead): void => {
	const notice: PauseNotice = pauseStatuses.has(status) ? protocol.readPause(headers) : {type: 'none'};
	switch (notice.type) {
		case 'none': {
			break;
		}

		case 'pause': {
			const now = nowMs();
			metrics.count('endpoint_pauses', 'Pauses that endpoints asked for.');
			logger.event('BP4045', {
				requestId, endpointId: id, address, pauseMs: Math.round(notice.pauseMs), remainingMs: remainingPauseMs(load, now),
			});
			recordPause(load, notice.pauseMs, now);
			break;
		}

		case 'unreadable': {
			logger.event('BP4046', {
				requestId, endpointId: id, address, text: notice.text.slice(0, 40),
			});
			break;
		}
	}
};

const recordLeaving = ({protocol, logger}: CallContext, {announcement: {id, address}, load}: Candidate, {status, headers}: AnswerHead): void => {
	// A 421 may come from another start of the endpoint, whose state does not apply to this one.
	if (!load.isLeaving && status !== 421 && protocol.isLeaving(headers)) {
		load.isLeaving = true;
		logger.event('BP4047', {endpointId: id, address});
	}
};

const recordLoad = ({protocol, nowMs}: CallContext, {load}: Candidate, {headers}: AnswerHead): void => {
	const text = headers[protocol.headers.load];
	const active = typeof text === 'string' ? protocol.readActive(text) : null;
	if (active !== null) {
		load.advertisedLoad = {active, atMs: nowMs()};
	}
};
