import {
	admitRequest, answerBoundMs, answerMs, arrivalsPerSecond, boundObjectiveMs, canEndInTime, decideWait, engineOutlook,
	mayWaitForRoom, noEngineReturnMs, noteRefused, noteSpareRoom, placeRequest, readMs, spareFirstTokenMs, type Placement, type WaitVerdict,
} from '@bitternpaddle/coordination';
import type {CallContext} from './call-context.js';
import {duesOf} from './call-headers.js';
import type {CallProgress} from './call-progress.js';
import {giveUp, leastRemainingMs} from './finish-call.js';
import type {Call} from './gateway-call.js';

/** Whose key was taken away finds no better answer before its operator has acted. */
const revokedRetryMs = 1500;
/** Behind an entry that ends, a caller's next connection leads to another one: two crossings between regions. */
const leavingRetryMs = 10;

/** Why a request was not placed now. `busy`: endpoints serve, and have more than they can begin in time. */
type NoPlace = {readonly type: 'noEndpoint' | 'busy'; readonly reason: string; readonly retryAfterMs: number};

/**
 * The next endpoint to send to; `null` if the caller has its final answer.
 * Where no endpoint can take a request now, it waits a moment: engines that
 * switch or come back are out for less time than a caller that is sent away.
 */
export const findEndpoint = async (context: CallContext, call: Call, progress: CallProgress): Promise<Placement | null> => {
	const sinceMs = context.nowMs();
	let leave: (() => void) | null = null;
	try {
		for (;;) {
			const next = lookForPlace(context, call, progress);
			if (next === null || !isNoPlace(next)) {
				return next;
			}

			const verdict = waitVerdict(context, call, {noPlace: next, sinceMs, isHeld: leave !== null});
			if (verdict === 'leave') {
				noteGivenUp(context, call, next);
				return giveUp(context, call, progress, next.reason, next.retryAfterMs);
			}

			if (verdict === 'held' && leave === null) {
				leave = context.room.hold(call.service.name);
				context.logger.event('BP4028', {requestId: call.requestId, remainingMs: Math.round(call.deadlineAtMs - context.nowMs()), heldCount: context.room.heldFor(call.service.name)});
			}

			await context.room.nextLook();
		}
	} finally {
		leave?.();
	}
};

/** Whether the answer surely ends before this entry does. */
const canEndHere = ({leftMs}: CallContext, {service: {engine}, route, mostAnswerTokens}: Call, {expectedMs}: Placement): boolean => canEndInTime({
	expectedMs, leftMs: leftMs(), answerBoundMs: answerBoundMs({profile: engine, mostAnswerTokens, timeoutMs: route.timeoutMs}),
});

/** A first-comer that is refused for load tells how its kind fares beside the others. */
const noteGivenUp = ({objectives, nowMs}: CallContext, {service, route, hasComeBack}: Call, {type}: NoPlace): void => {
	if (type === 'busy' && !hasComeBack) {
		noteRefused(objectives(service.name), route.objectiveMs, nowMs());
	}
};

/** What a begun answer needs to be whole: one that is cut by its caller's deadline is worth nothing, and takes as much of an engine. */
const answerTimeMs = ({service: {engine}}: Call): number => engine === null ? 0 : answerMs(engine);

const spareOf = ({service: {engine}}: Call): number => engine === null ? Number.POSITIVE_INFINITY : spareFirstTokenMs(engine);

const excessOf = ({promptTokens, service: {engine}}: Call): number => engine === null ? 0 : Math.max(0, readMs(engine, promptTokens - engine.usualPromptTokens));

const isNoPlace = (found: Placement | NoPlace): found is NoPlace => 'type' in found;

type Waiting = {readonly noPlace: NoPlace; readonly sinceMs: number; readonly isHeld: boolean};

const waitVerdict = ({view, room, spareRoom, entryCount, nowMs}: CallContext, call: Call, {noPlace, sinceMs, isHeld}: Waiting): WaitVerdict => {
	const {service, hasComeBack, deadlineAtMs} = call;
	const now = nowMs();
	const remainingMs = deadlineAtMs - now;
	const {engine: profile} = service;
	if (noPlace.type === 'busy' && !isHeld && hasComeBack && remainingMs > answerTimeMs(call) && mayWaitForRoom(spareRoom(service.name), now - sinceMs, now)) {
		return 'brief';
	}

	if (noPlace.type === 'busy') {
		// Engines are back, and those that were held go in as there is room: all entries see the first one empty at once, and would fill its queue for seconds.
		return isHeld && remainingMs > answerTimeMs(call) ? 'held' : 'leave';
	}

	return decideWait({
		profile, outlook: engineOutlook(view.candidates(service.name, now), now), hasComeBack, remainingMs,
		waitedMs: now - sinceMs, isHeld, heldCount: room.heldFor(service.name), entryCount: entryCount(),
	});
};

const lookForPlace = (context: CallContext, call: Call, progress: CallProgress): Placement | NoPlace | null => {
	const {view, zoneId, random, nowMs} = context;
	const now = nowMs();
	const remainingMs = call.deadlineAtMs - now;
	if (call.ended.signal.aborted || remainingMs < leastRemainingMs) {
		return giveUp(context, call, progress, 'the deadline passed');
	}

	if (call.isKeyed && !context.holdsLease()) {
		return giveUp(context, call, progress, 'the keys in force are not surely known', context.lostCoreRetryMs());
	}

	// It may have been taken away while the request waited.
	if (!call.isKeyInForce()) {
		return giveUp(context, call, progress, 'the key is no longer in force', revokedRetryMs);
	}

	const candidates = view.candidates(call.service.name, now);
	const choice = placeRequest({
		othersPerSecond: arrivalsPerSecond(context.sending(call.service.name), now) * (context.entryCount() - 1),
		candidates, profile: call.service.engine, zoneId, promptTokens: call.promptTokens, objectiveMs: call.route.objectiveMs,
		dues: duesOf(context, call), isBegun: progress.hasEvents, excludedIds: progress.triedIds, random, nowMs: now,
	});
	if (choice === null) {
		return {
			type: 'noEndpoint', reason: 'no endpoint can take it', retryAfterMs: noEngineReturnMs(engineOutlook(candidates, now), random),
		};
	}

	if (!canEndHere(context, call, choice)) {
		return giveUp(context, call, progress, 'this entry ends before the answer would', leavingRetryMs);
	}

	if (progress.sent > 0) {
		return choice;
	}

	const excessMs = excessOf(call);
	const spareMs = spareOf(call);
	if (choice.expectedMs - excessMs <= spareMs) {
		noteSpareRoom(context.spareRoom(call.service.name), now);
	}

	const admission = admitRequest({
		retryClass: call.route.retryClass, expectedMs: choice.expectedMs, boundMs: boundObjectiveMs(context.objectives(call.service.name), call.route.objectiveMs, now), spareMs,
		hasComeBack: call.hasComeBack, waitedMs: now - call.receivedAtMs, remainingMs: remainingMs - answerTimeMs(call), excessMs, random,
	});
	return admission.type === 'admitted'
		? choice
		: {
			type: 'busy', reason: admission.reason, retryAfterMs: admission.retryAfterMs,
		};
};
