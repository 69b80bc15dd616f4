import {
	nextStep, preferredLimited, readDelayMs, unrankedPlace, waitPlaceOf, type Exclusion, type NextStep,
	type Placement, type UnplacedRequest, type ServiceDemand, type PlacementContext, type WaitPlace, type WaitReason,
} from '@bitternpaddle/coordination';
import {demandSourceOf} from '../demand/service-rooms.js';
import {recordTooLate} from './answer-load.js';
import type {CallContext} from './call-context.js';
import {chargeRetry, holdsCharge} from './charge-retry.js';
import {versionDuesOf} from './call-headers.js';
import type {CallProgress} from './call-progress.js';
import {
	exhaustedRetryMs, failCall, failCancelled, minRemainingMs, refuseQuarantined,
} from './finish-call.js';
import type {Call} from './gateway-call.js';
import {exclusionReasons, exclusionRetryMs} from './permission.js';

/** Retry delay for a caller whose key was revoked; earlier retries are refused as well until an operator acts. */
const revokedRetryMs = 1500;

/** Why a call is refused regardless of the available endpoints. */
type Refusal = {readonly reason: string; readonly retryAfterMs?: number};

/**
 * Selects the endpoint to send to next; `null` if the caller has its final answer.
 * While no endpoint can accept the request, waits and checks again for as long as
 * `nextStep` returns `wait`.
 */
export const findEndpoint = async (context: CallContext, call: Call, progress: CallProgress): Promise<Placement | null> => {
	const wait = createWait(context, call, progress);
	try {
		for (;;) {
			const verdict = context.quarantine.verdictOn(call);
			if (verdict !== null) {
				return refuseQuarantined(context, call, progress, verdict);
			}

			if (call.cancellation.signal.aborted) {
				return failCancelled(context, call, progress);
			}

			const refusal = refusalOf(context, call);
			if (refusal !== null) {
				return failCall(context, call, progress, refusal.reason, refusal.retryAfterMs);
			}

			const step = selectNextStep(context, call, wait.seeking(), wait.place);
			if (step.type === 'exclude') {
				return failExcluded(context, call, progress, step.exclusion);
			}

			if (progress.sent === 0) {
				context.rooms.recordStep(call, step);
			}

			if (step.type === 'send' && progress.sent > 0 && !holdsCharge(context, progress)) {
				// The request has waited for longer than its charge is valid. The endpoint may have no slot left once another charge is taken.
				if (await chargeRetry(context, call, progress)) {
					continue;
				}

				return failCall(context, call, progress, progress.lastReason, exhaustedRetryMs);
			}

			switch (step.type) {
				case 'send': {
					// Synchronous with the decision: requests released in the same tick must not all be sent with one permit.
					context.limits.usePermit(step.placement.candidate.announcement);
					return step.placement;
				}

				case 'refuse': {
					recordTooLate(context, call, progress, step.tooLate);
					progress.refusedBy = estimateFields(context, step.placement);
					return failCall(context, call, progress, step.reason, step.retryAfterMs);
				}

				case 'wait': {
					wait.continueFor(step.reason);
					if (step.isAtOnce) {
						context.waitQueue.checkNow();
					}

					await context.waitQueue.nextCheck(wait.place);
				}
			}
		}
	} finally {
		wait.end();
	}
};

/** The figures by which a request was refused, for its log line. */
const estimateFields = ({stalls, nowMs}: CallContext, placement: Placement | undefined): Record<string, unknown> => {
	if (placement === undefined) {
		return {};
	}

	const {candidate: {announcement, load}, expectedMs, lagMs} = placement;
	const now = nowMs();
	return {
		endpointId: announcement.id, expectedMs: Math.round(expectedMs), lagMs: Math.round(lagMs), pathDelayMs: Math.round(load.path.delayMs),
		reportAgeMs: Number.isFinite(load.reportedAtMs) ? Math.round(now - load.reportedAtMs) : null, outstanding: load.outstanding, stalledMs: Math.round(readDelayMs(stalls, now)),
	};
};

const failExcluded = (context: CallContext, call: Call, progress: CallProgress, exclusion: Exclusion): null => {
	context.metrics.count(`${exclusion}_refusals`, `Requests that were refused because ${exclusionReasons[exclusion]}.`);
	return failCall(context, call, progress, exclusionReasons[exclusion], exclusionRetryMs);
};

const refusalOf = (context: CallContext, call: Call): Refusal | null => call.deadlineAtMs - context.nowMs() < minRemainingMs
	? {reason: 'the deadline passed'}
	: keyRefusalOf(context, call);

/** Why a call is refused because of its key; `null` if the key is confirmed to be in force. */
export const keyRefusalOf = ({holdsLease, lostCoreRetryMs}: Pick<CallContext, 'holdsLease' | 'lostCoreRetryMs'>, call: Pick<Call, 'requiresKey' | 'isKeyInForce'>): Refusal | null => {
	if (call.requiresKey && !holdsLease()) {
		return {reason: 'the keys in force are not surely known', retryAfterMs: lostCoreRetryMs()};
	}

	// The key may have been revoked while the request waited.
	return call.isKeyInForce() ? null : {reason: 'the key is no longer in force', retryAfterMs: revokedRetryMs};
};

/** Selects another endpoint for a request that is at a silent one; `null` if none accepts it now. */
export const findAlternative = (context: CallContext, call: Call, progress: CallProgress): Placement | null => {
	if (call.cancellation.signal.aborted || refusalOf(context, call) !== null) {
		return null;
	}

	const seeking = {...unplacedRequest(context, call, progress), sentCount: progress.sent + 1};
	const step = selectNextStep(context, call, seeking, null);
	return step.type === 'send' ? step.placement : null;
};

const unplacedRequest = (context: CallContext, call: Call, progress: CallProgress): UnplacedRequest => {
	const {route} = call;
	return {
		...demandSourceOf(call), isLastTry: call.hasComeBack, deadlineAtMs: call.deadlineAtMs, retryClass: route.retryClass, objectiveMs: route.objectiveMs, timeoutMs: route.timeoutMs,
		maxAnswerTokens: call.answerTokenLimit, receivedAtMs: call.receivedAtMs, sinceMs: context.nowMs(),
		isBegun: progress.hasEvents, sentCount: progress.sent, triedIds: progress.triedIds, waitsFor: null,
	};
};

/** `exclude`: there are endpoints, but the request may not be sent to any of them. */
type Step = NextStep | {readonly type: 'exclude'; readonly exclusion: Exclusion};

/** `place`: its place among the waiting requests; `null` if it cannot wait. */
const selectNextStep = (context: CallContext, call: Call, seeking: UnplacedRequest, place: WaitPlace | null): Step => {
	const {name, engine: profile} = call.service;
	const {limits, waitQueue, random} = context;
	context.observeStalls();
	const nowMs = context.nowMs();
	const {candidates, exclusion} = context.permission.permittedEndpoints(call, context.view.candidates(name, nowMs));
	if (exclusion !== null) {
		return {type: 'exclude', exclusion};
	}

	const demand: ServiceDemand = {
		sendRate: context.sendRate(name), objectives: context.objectives(name), spareCapacity: context.spareCapacity(name), startShare: context.startShare(name).share,
		heldCount: waitQueue.waitingCount(name, 'engines'), queuedCount: waitQueue.waitingCount(name, 'availability'),
		capacityAheadCount: waitQueue.capacityAheadCount(name, place ?? unrankedPlace),
	};
	const surroundings: PlacementContext = {
		candidates, demandShare: context.permission.demandShare(name, candidates, nowMs), permitStateOf: ({announcement}) => limits.stateOf(announcement), profile, zoneId: context.zoneId,
		entryCount: context.entryCount(), dues: versionDuesOf(context, call), shutdownInMs: context.remainingGraceMs(),
		room: context.rooms.roomOf(call.service), random, nowMs,
	};
	const preferred = limits.hasLimits() ? preferredLimited(demand, surroundings, seeking) : null;
	if (preferred !== null) {
		limits.requestPermits(preferred.candidate.announcement);
	}

	const step = nextStep(demand, surroundings, seeking, place === null ? null : preferred);
	if (step.type === 'send') {
		context.permission.recordDemand(name, candidates, nowMs);
	}

	return step;
};

/** What a request waits for; counts it among the waiting requests. */
type Wait = {
	readonly place: WaitPlace;
	seeking(): UnplacedRequest;
	/** Continues to wait, for `reason`. */
	continueFor(reason: WaitReason): void;
	end(): void;
};

const createWait = (context: CallContext, call: Call, progress: CallProgress): Wait => {
	const {service: {name}} = call;
	let leave: (() => void) | null = null;
	let seeking = unplacedRequest(context, call, progress);
	const place = waitPlaceOf(context.rooms.roomOf(call.service), seeking);

	const joinQueue = (reason: WaitReason): (() => void) | null => {
		switch (reason) {
			case 'moment': {
				return null;
			}

			case 'capacity': {
				// A caller retry needs a free slot; arrivals that fit into less must not wait behind it.
				return call.hasComeBack ? null : context.waitQueue.joinCapacity(name, place);
			}

			case 'engines':
			case 'availability': {
				return context.waitQueue.countWaiting(name, reason);
			}
		}
	};

	const end = (): void => {
		leave?.();
		leave = null;
	};

	return {
		place,
		seeking: () => seeking,
		continueFor(reason) {
			if (reason === seeking.waitsFor) {
				return;
			}

			end();
			seeking = {...seeking, waitsFor: reason};
			leave = joinQueue(reason);
			context.logger.event('BP4028', {
				requestId: call.requestId, waitsFor: reason, remainingMs: Math.round(call.deadlineAtMs - context.nowMs()),
				heldCount: context.waitQueue.waitingCount(name, 'engines'), queuedCount: context.waitQueue.waitingCount(name, 'availability'),
			});
		},
		end,
	};
};
