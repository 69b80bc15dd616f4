import {
	isUneven, prefillMs, recordStartDelay, startWithinMs, recordArrival, recordLag, recordObjective, recordPause,
	type AwaitedRequest, type Candidate, type EndpointLoad, type PauseNotice, type Placement,
} from '@bitternpaddle/coordination';
import {ignore, maxStreamBytes} from '@bitternpaddle/transport';
import {
	sendAttempt, type AnswerHead, type AttemptResult, type SendExclusion,
} from './attempt.js';
import {
	recordLoad, recordPassedZone, recordPlainAnswer, slowdownFields,
} from './answer-load.js';
import {attemptLimits} from './attempt-limits.js';
import type {CallContext} from './call-context.js';
import {
	versionDuesOf, endpointHeaders, isUnproven, requestedVersion, type EndpointTarget,
} from './call-headers.js';
import {chargeRetry, holdsCharge, releaseCharge} from './charge-retry.js';
import {createCallProgress, type CallProgress} from './call-progress.js';
import {findAlternative, findEndpoint, keyRefusalOf} from './find-endpoint.js';
import {forwardEvents} from './finish-call.js';
import {isIdempotent, type Call, type CancelCause} from './gateway-call.js';
import {
	canReplace, handleAttemptResult, recordReplaced, recordSilence,
} from './judge-attempt.js';

/** Sends a request to endpoints until one answers or no further attempt is allowed, and sends the caller its answer. */
export const runCall = async (context: CallContext, call: Call): Promise<void> => {
	const {nowMs} = context;
	const progress = createCallProgress();
	context.retryBudget.recordRequest(call.service.name);
	recordObjective(context.objectives(call.service.name), call.route.objectiveMs, nowMs());
	context.rooms.recordArrival(call);
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
		releaseCharge(context, progress);
	}
};

const runAttempts = async (context: CallContext, call: Call, progress: CallProgress): Promise<void> => {
	for (;;) {
		const placement = await findEndpoint(context, call, progress);
		if (placement === null) {
			return;
		}

		const {last, result} = await followAttempts(context, call, progress, startAttempt(context, call, progress, placement));
		if (await handleAttemptResult(context, call, progress, last.state.placement, result)) {
			return;
		}
	}
};

type AttemptState = {
	readonly placement: Placement;
	readonly signal: AbortSignal;
	/** Aborts a successor alone. */
	readonly cancellation: AbortController;
	/** Whether the call's answer comes from this attempt; a successor's only once it has taken over. */
	isCurrent: boolean;
	/** Whether the endpoint was silent for longer than the timeout. */
	isSilent: boolean;
	hasEnded: boolean;
	/** The attempt at another endpoint while this one is silent. */
	successor: RunningAttempt | null;
};

type RunningAttempt = {readonly state: AttemptState; readonly result: Promise<AttemptResult>};

/** Called with the head of a successor's answer. */
type OnHead = (head: AnswerHead) => void;

const startAttempt = (context: CallContext, call: Call, progress: CallProgress, placement: Placement, onHead: OnHead | null = null): RunningAttempt => {
	const cancellation = new AbortController();
	const isSuccessor = onHead !== null;
	const state: AttemptState = {
		placement, cancellation, isCurrent: !isSuccessor, isSilent: false, hasEnded: false, successor: null,
		signal: isSuccessor ? AbortSignal.any([call.cancellation.signal, cancellation.signal]) : call.cancellation.signal,
	};
	return {state, result: attempt(context, call, progress, {state, onHead: onHead ?? ignore})};
};

/** Waits for the result of an attempt or of the successor that has taken its place. */
const followAttempts = async (context: CallContext, call: Call, progress: CallProgress, first: RunningAttempt): Promise<{last: RunningAttempt; result: AttemptResult}> => {
	let last = first;
	for (;;) {
		const result = await last.result;
		const {placement, successor} = last.state;
		context.metrics.attempt(call.service.name, result.type);
		if (successor === null || isFinal(result)) {
			successor?.state.cancellation.abort();
			return {last, result};
		}

		recordReplaced(context, call, progress, placement, result);
		successor.state.isCurrent = true;
		last = successor;
	}
};

/** Whether the call ends with this result, even if another endpoint may still answer. */
const isFinal = (result: AttemptResult): boolean => {
	switch (result.type) {
		case 'streamed':
		case 'aborted': {
			return true;
		}

		case 'answered': {
			return result.head.status < 500;
		}

		case 'refused':
		case 'unsent':
		case 'excluded':
		case 'broken': {
			return false;
		}
	}
};

/**
 * Decides whether a silent attempt fails over to another endpoint, and ends. An answer that has begun is kept until another
 * endpoint has begun to continue it. A request whose answer has not begun is given up as
 * soon as another endpoint accepts one more: sent to both, it would take the place of
 * another request while engines are overloaded.
 */
const failOver = async (context: CallContext, call: Call, progress: CallProgress, state: AttemptState): Promise<boolean> => {
	if (!state.isSilent) {
		state.isSilent = true;
		recordSilence(context, call, state.placement);
	}

	const canFailOver = (): boolean => state.isCurrent && !state.hasEnded && state.successor === null && mayRepeat(call, progress);
	if (!canFailOver() || findAlternative(context, call, progress) === null || !await chargeRetry(context, call, progress)) {
		return false;
	}

	// The answer may have gone on while the charge was taken, and the other endpoint may accept no request any more.
	const placement = canFailOver() ? findAlternative(context, call, progress) : null;
	if (placement === null || !holdsCharge(context, progress)) {
		return false;
	}

	if (!progress.hasEvents) {
		return true;
	}

	context.limits.usePermit(placement.candidate.announcement);
	return new Promise(resolve => {
		const successor = startAttempt(context, call, progress, placement, head => {
			if (successor.state.isCurrent) {
				return;
			}

			if (canReplace(context, progress, head)) {
				successor.state.isCurrent = true;
				resolve(true);
			} else if (head.status < 300) {
				successor.state.cancellation.abort();
			}
		});
		state.successor = successor;
		const endUnused = (result: AttemptResult): void => {
			if (!successor.state.isCurrent) {
				state.successor = null;
				context.metrics.attempt(call.service.name, result.type);
				recordReplaced(context, call, progress, placement, result);
				resolve(false);
			}
		};

		successor.result.then(endUnused).catch((error: unknown) => {
			context.logger.event('BP9003', {message: (error as Error).stack ?? String(error)});
			resolve(false);
		});
	});
};

/** Whether the request may be sent to one more endpoint in addition to those that it was sent to. */
const mayRepeat = (call: Call, {triedIds, unreachable}: CallProgress): boolean => isIdempotent(call) && triedIds.size - unreachable < call.route.maxAttempts;

type AttemptHooks = {readonly state: AttemptState; readonly onHead: OnHead};

/** Why the request must not be sent to the endpoint any more. */
const sendExclusionOf = (context: CallContext, call: Call, target: EndpointTarget): SendExclusion | null => {
	if (keyRefusalOf(context, call) !== null) {
		return 'key';
	}

	return context.permission.exclusionOf(call, target.candidate) ?? (isUnproven(context, call, target) ? 'weights' : null);
};

const attempt = async (context: CallContext, call: Call, progress: CallProgress, {state, onHead}: AttemptHooks): Promise<AttemptResult> => {
	const {candidate, expectedMs, lagMs} = state.placement;
	const {protocol, connections, metrics, logger, nowMs} = context;
	const {route, service} = call;
	const {announcement, load} = candidate;
	const startedAtMs = nowMs();
	const sequence = progress.triedIds.size;
	const key = nextAwaitedKey();
	const target = {candidate, version: requestedVersion(context, call, candidate)};
	const beginWithinMs = target.version === null ? null : startWithinMs(target.version, versionDuesOf(context, call), startedAtMs);
	progress.triedIds.add(announcement.id);
	recordArrival(context.sendRate(service.name), startedAtMs);
	load.outstanding++;
	const awaited: AwaitedRequest = {promptTokens: call.promptTokens, sentAtMs: startedAtMs, expectedMs};
	load.awaiting.set(key, awaited);
	/** How much longer the answer took than expected; stalls of this process do not count. */
	const latenessMs = (): number => nowMs() - startedAtMs - awaited.expectedMs;

	logger.event('BP4023', {
		requestId: call.requestId, endpointId: announcement.id, address: announcement.address, attempt: sequence, expectedMs: Math.round(expectedMs),
		outstanding: load.outstanding, limitPerSecond: context.limits.perSecondOf(announcement), pausedForMs: remainingPauseMs(load, startedAtMs),
		reportAgeMs: Number.isFinite(load.reportedAtMs) ? Math.round(startedAtMs - load.reportedAtMs) : null, ...slowdownFields(candidate, startedAtMs),
		...context.permission.ruleFields(call), ...(target.version !== null && {weightVersion: target.version, beginWithinMs: beginWithinMs === null ? null : Math.round(beginWithinMs)}),
	});
	recordPassedZone(context, call, state.placement);
	const {charge} = progress;
	progress.charge = null;
	const result = await sendAttempt({
		connections, headerNames: protocol.headers, address: announcement.address, method: call.request.method!, path: call.request.url!,
		headers: endpointHeaders(context, call, progress, target), requestId: call.requestId, requestedVersion: target.version, body: call.body,
		requiresFreshConnection: !isIdempotent(call),
		limits: attemptLimits(call, candidate, {canRepeat: mayRepeat(call, progress), failOver: async () => failOver(context, call, progress, state), nowMs}),
		beginWithinMs,
		signal: state.signal, maxStreamBytes: maxStreamBytes(call.answerTokenLimit), answerBudget: context.answerBudget,
		exclusion: () => sendExclusionOf(context, call, target),
		endsInChunk: () => call.response.headersSent && call.response.chunkedEncoding,
		isExitExpected: () => load.isLeaving || announcement.state !== 'ready',
		onProgress() {
			if (state.successor?.state.isCurrent === false) {
				state.successor.state.cancellation.abort();
			}
		},
		onHead(head) {
			context.observeStalls();
			onHead(head);
			recordSignOfLife(context, candidate, head, startedAtMs);
			recordLimit(context, candidate, head, startedAtMs);
			recordLeaving(context, candidate, head);
			handlePauseNotice(context, call, candidate, head);
		},
		onFirstByte(head) {
			const lateMs = latenessMs();
			const tookMs = nowMs() - startedAtMs;
			const advertised = recordLoad(context, candidate, head);
			if (route.retryClass !== 'streaming') {
				load.awaiting.delete(key);
				metrics.firstByte(service.name, tookMs);
				recordLag(load, service.engine === null ? recordPlainAnswer(context, state.placement, {head, advertised, tookMs: expectedMs + lateMs}) : lateMs + lagMs, nowMs());
			}
		},
		onEvents(head, events, lastId) {
			context.observeStalls();
			if (load.awaiting.delete(key)) {
				const lateMs = latenessMs();
				const tookMs = nowMs() - startedAtMs;
				metrics.firstByte(service.name, tookMs);
				metrics.expectation(service.name, expectedMs, tookMs);
				recordLag(load, lateMs + lagMs, nowMs());
				recordStart(context, call, progress);
				progress.firstByteMs ??= Math.round(nowMs() - call.receivedAtMs);
				progress.expectedMs ??= Math.round(startedAtMs + expectedMs - call.receivedAtMs);
			}

			context.quarantine.recordActivity(announcement.id);
			progress.lastEventId = lastId ?? progress.lastEventId;
			progress.hasEvents = true;
			progress.writtenBytes += events.length;
			forwardEvents(call.response, head, events);
		},
	});
	state.hasEnded = true;
	if (charge !== null && (result.type === 'unsent' || result.type === 'excluded')) {
		releaseCharge(context, progress);
		progress.charge = charge;
	}

	context.observeStalls();
	load.outstanding--;
	if (load.awaiting.delete(key) && result.type === 'broken') {
		recordLag(load, latenessMs() + expectedMs, nowMs());
	}

	if (result.type === 'refused') {
		recordLoad(context, candidate, result.head);
	}

	return result;
};

/** Learns from first attempts how far estimates can be trusted; only for services whose endpoints are uneven or whose requests have several priorities. */
const recordStart = ({rooms, view, startShare, nowMs}: CallContext, {service, route, promptTokens, receivedAtMs, hasComeBack}: Call, {firstByteMs}: CallProgress): void => {
	const {name, engine} = service;
	if (engine === null || hasComeBack || firstByteMs !== null || (rooms.roomOf(service) === null && !isUneven(view.candidates(name, nowMs())))) {
		return;
	}

	const excessMs = Math.max(0, prefillMs(engine, promptTokens - engine.usualPromptTokens));
	recordStartDelay(startShare(name), {tookMs: nowMs() - receivedAtMs - excessMs, objectiveMs: route.objectiveMs});
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

const recordSignOfLife = ({quarantine}: CallContext, {announcement: {id}}: Candidate, {status}: AnswerHead, sentAtMs: number): void => {
	// A 421 may come from another start of the endpoint.
	if (status !== 421) {
		quarantine.recordAnswer(id, sentAtMs);
	}
};

const recordLeaving = ({protocol, logger}: CallContext, {announcement: {id, address}, load}: Candidate, {status, headers}: AnswerHead): void => {
	// A 421 may come from another start of the endpoint, whose state does not apply to this one.
	if (!load.isLeaving && status !== 421 && protocol.isLeaving(headers)) {
		load.isLeaving = true;
		logger.event('BP4047', {endpointId: id, address});
	}
};
