import {
	nextStep, preferredLimited, type NextStep, type Placement, type SeekingRequest, type ServiceDemand, type Surroundings, type WaitReason,
} from '@bitternpaddle/coordination';
import type {CallContext} from './call-context.js';
import {duesOf} from './call-headers.js';
import type {CallProgress} from './call-progress.js';
import {giveUp, leastRemainingMs, refuseQuarantined} from './finish-call.js';
import type {Call} from './gateway-call.js';

/** Whose key was taken away finds no better answer before its operator has acted. */
const revokedRetryMs = 1500;

/** Why a call cannot go on, whatever endpoints there are. */
type Hindrance = {readonly reason: string; readonly retryAfterMs?: number};

/**
 * The next endpoint to send to; `null` if the caller has its final answer.
 * Where no endpoint can take a request now, it waits a moment and looks again, as
 * long as the step that decides says so.
 */
export const findEndpoint = async (context: CallContext, call: Call, progress: CallProgress): Promise<Placement | null> => {
	const wait = createWait(context, call, progress);
	try {
		for (;;) {
			const verdict = context.quarantine.verdictOn(call);
			if (verdict !== null) {
				return refuseQuarantined(context, call, progress, verdict);
			}

			const hindrance = hindranceOf(context, call);
			if (hindrance !== null) {
				return giveUp(context, call, progress, hindrance.reason, hindrance.retryAfterMs);
			}

			const step = lookForEndpoint(context, call, wait.seeking());
			switch (step.type) {
				case 'send': {
					// Synchronous with the decision: requests released in the same tick must not all be sent with one permit.
					context.limits.usePermit(step.placement.candidate.announcement);
					return step.placement;
				}

				case 'refuse': {
					return giveUp(context, call, progress, step.reason, step.retryAfterMs);
				}

				case 'wait': {
					wait.goOn(step.reason);
					await context.room.nextLook();
				}
			}
		}
	} finally {
		wait.end();
	}
};

const hindranceOf = ({nowMs, holdsLease, lostCoreRetryMs}: CallContext, call: Call): Hindrance | null => {
	if (call.ended.signal.aborted || call.deadlineAtMs - nowMs() < leastRemainingMs) {
		return {reason: 'the deadline passed'};
	}

	if (call.isKeyed && !holdsLease()) {
		return {reason: 'the keys in force are not surely known', retryAfterMs: lostCoreRetryMs()};
	}

	// It may have been taken away while the request waited.
	return call.isKeyInForce() ? null : {reason: 'the key is no longer in force', retryAfterMs: revokedRetryMs};
};

const lookForEndpoint = (context: CallContext, call: Call, seeking: SeekingRequest): NextStep => {
	const {name, engine: profile} = call.service;
	const {limits, room, random} = context;
	const nowMs = context.nowMs();
	const demand: ServiceDemand = {
		sending: context.sending(name), objectives: context.objectives(name), spareRoom: context.spareRoom(name),
		heldCount: room.heldFor(name, 'engines'), queuedCount: room.heldFor(name, 'availability'),
	};
	const surroundings: Surroundings = {
		candidates: context.view.candidates(name, nowMs), permitStateOf: ({announcement}) => limits.stateOf(announcement), profile, zoneId: context.zoneId,
		entryCount: context.entryCount(), dues: duesOf(context, call), leftMs: context.leftMs(), random, nowMs,
	};
	const preferred = limits.hasLimited() ? preferredLimited(demand, surroundings, seeking) : null;
	if (preferred !== null) {
		limits.requestPermits(preferred.announcement);
	}

	return nextStep(demand, surroundings, seeking);
};

/** What a request waits for, and its place among those that wait for the same. */
type Wait = {
	seeking(): SeekingRequest;
	/** It waits on, for `reason`. */
	goOn(reason: WaitReason): void;
	end(): void;
};

const createWait = (context: CallContext, call: Call, progress: CallProgress): Wait => {
	const {service: {name}, route} = call;
	let leave: (() => void) | null = null;
	let seeking: SeekingRequest = {
		isLastTry: call.hasComeBack, deadlineAtMs: call.deadlineAtMs, retryClass: route.retryClass, objectiveMs: route.objectiveMs, timeoutMs: route.timeoutMs,
		promptTokens: call.promptTokens, mostAnswerTokens: call.mostAnswerTokens, receivedAtMs: call.receivedAtMs, sinceMs: context.nowMs(),
		isBegun: progress.hasEvents, sentCount: progress.sent, triedIds: progress.triedIds, waitsFor: null,
	};

	const enter = (reason: WaitReason): (() => void) | null => {
		switch (reason) {
			case 'moment': {
				return null;
			}

			case 'engines':
			case 'availability': {
				return context.room.hold(name, reason);
			}
		}
	};

	const end = (): void => {
		leave?.();
		leave = null;
	};

	return {
		seeking: () => seeking,
		goOn(reason) {
			if (reason === seeking.waitsFor) {
				return;
			}

			end();
			seeking = {...seeking, waitsFor: reason};
			leave = enter(reason);
			context.logger.event('BP4028', {
				requestId: call.requestId, waitsFor: reason, remainingMs: Math.round(call.deadlineAtMs - context.nowMs()),
				heldCount: context.room.heldFor(name, 'engines'), queuedCount: context.room.heldFor(name, 'availability'),
			});
		},
		end,
	};
};
