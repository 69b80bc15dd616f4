import {
	admitRequest, arrivalsPerSecond, placeRequest, type Placement,
} from '@bitternpaddle/coordination';
import type {CallContext} from './call-context.js';
import {duesOf} from './call-headers.js';
import type {CallProgress} from './call-progress.js';
import {giveUp, leastRemainingMs} from './finish-call.js';
import type {Call} from './gateway-call.js';

/** While no endpoint can take a request it waits this long at most, and for this share of what its caller has left. */
const longestWaitMs = 700;
const waitShare = 0.15;
/** Then its caller comes back once engines that load or restart have had the time. */
const noEndpointRetryMs = 1500;
const noEndpointSpreadMs = 500;

/**
 * The next endpoint to send to; `null` if the caller has its final answer.
 * Where no endpoint can take a request now, it waits a moment: engines that
 * switch or come back are out for less time than a caller that is sent away.
 */
export const findEndpoint = async (context: CallContext, call: Call, progress: CallProgress): Promise<Placement | null> => {
	const waitUntilMs = context.nowMs() + Math.min(longestWaitMs, (call.deadlineAtMs - context.nowMs()) * waitShare);
	for (;;) {
		const next = lookForPlace(context, call, progress);
		if (next !== 'noEndpoint') {
			return next;
		}

		if (context.nowMs() >= waitUntilMs) {
			return giveUp(context, call, progress, 'no endpoint can take it', noEndpointRetryMs + context.random.between(0, noEndpointSpreadMs));
		}

		await context.room.nextLook();
	}
};

const lookForPlace = (context: CallContext, call: Call, progress: CallProgress): Placement | 'noEndpoint' | null => {
	const {view, zoneId, random, nowMs} = context;
	const now = nowMs();
	const remainingMs = call.deadlineAtMs - now;
	if (call.ended.signal.aborted || remainingMs < leastRemainingMs) {
		return giveUp(context, call, progress, 'the deadline passed');
	}

	if (call.isKeyed && !context.holdsLease()) {
		return giveUp(context, call, progress, 'the keys in force are not surely known', context.lostCoreRetryMs());
	}

	const choice = placeRequest({
		othersPerSecond: arrivalsPerSecond(context.sending(call.service.name), now) * (context.entryCount() - 1),
		candidates: view.candidates(call.service.name, now), profile: call.service.engine, zoneId, promptTokens: call.promptTokens, objectiveMs: call.route.objectiveMs,
		dues: duesOf(context, call), isBegun: progress.hasEvents, excludedIds: progress.triedIds, random, nowMs: now,
	});
	if (choice === null) {
		return 'noEndpoint';
	}

	if (progress.sent > 0) {
		return choice;
	}

	const admission = admitRequest({
		retryClass: call.route.retryClass, expectedMs: choice.expectedMs, objectiveMs: call.route.objectiveMs,
		elapsedMs: call.elapsedMs + (now - call.receivedAtMs), remainingMs, random,
	});
	return admission.type === 'admitted' ? choice : giveUp(context, call, progress, admission.reason, admission.retryAfterMs);
};
