import type {EngineProfile, RetryClass} from '@bitternpaddle/state';
import type {PermitState} from '../endpoint-limits/permit-account.js';
import type {Random} from '../utils/random.js';
import {admitRequest} from './admit.js';
import {arrivalsPerSecond, type ArrivalRate} from './arrival-rate.js';
import {
	acceptedAtMs, acceptedUntil, availabilityAt, type Unavailability,
} from './availability.js';
import {isPaused} from './endpoint-pause.js';
import {readMs, spareFirstTokenMs} from './engine-model.js';
import {answerBoundMs, canEndInTime} from './leaving.js';
import {
	boundObjectiveMs, isOverloaded, noteRefused, type ObjectiveMix,
} from './objective-mix.js';
import {placeRequest, type Candidate, type Placement} from './place-request.js';
import {mayWaitForRoom, noteSpareRoom, type SpareRoom} from './spare-room.js';
import type {VersionDue} from './version-due.js';
import {
	answerMs, briefWaitEndsAtMs, decideWait, engineOutlook, noEngineReturnMs,
} from './wait-for-engine.js';

/** What an entry keeps of one service from request to request. */
export type ServiceDemand = {
	/** Requests that this entry sends to its endpoints. */
	readonly sending: ArrivalRate;
	/** What its callers ask for. */
	readonly objectives: ObjectiveMix;
	/** When its engines last had a place to spare. */
	readonly spareRoom: SpareRoom;
	/** Requests that are held until engines are ready. */
	readonly heldCount: number;
	/** Requests that wait until an endpoint accepts one more. */
	readonly queuedCount: number;
};

/** What an entry sees of a service, and of itself, at one moment. */
export type Surroundings = {
	readonly candidates: readonly Candidate[];
	/** Whether the limit of an endpoint allows a request to be sent now. */
	permitStateOf(candidate: Candidate): PermitState;
	/** `null`: a plain service. */
	readonly profile: EngineProfile | null;
	readonly zoneId: string;
	readonly entryCount: number;
	/** From when on which version of the weights must be begun on. */
	readonly dues: readonly VersionDue[];
	/** Until this entry cuts what still runs; infinite while it does not leave. */
	readonly leftMs: number;
	readonly random: Random;
	readonly nowMs: number;
};

/** A request for which an endpoint is sought. */
export type SeekingRequest = {
	/** Its caller was sent away before, and has no further try. */
	readonly isLastTry: boolean;
	readonly deadlineAtMs: number;
	readonly retryClass: RetryClass;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	readonly promptTokens: number;
	/** 0 if its caller does not tell. */
	readonly mostAnswerTokens: number;
	readonly receivedAtMs: number;
	/** Since when an endpoint is sought. */
	readonly sinceMs: number;
	/** Part of its answer has been sent. */
	readonly isBegun: boolean;
	/** Endpoints that it was sent to. */
	readonly sentCount: number;
	readonly triedIds: ReadonlySet<string>;
	/** What it waits for, as found at the look before; `null` at the first. */
	readonly waitsFor: WaitReason | null;
};

/** `moment`: engines switch, restart or have no room. `engines`: they are being filled. `availability`: endpoints serve but accept no more requests for now. */
export type WaitReason = 'moment' | 'engines' | 'availability';

/** What becomes of a request now. */
export type NextStep
	= | {readonly type: 'send'; readonly placement: Placement}
		/** Looks again in a moment. */
		| {readonly type: 'wait'; readonly reason: WaitReason}
		| {readonly type: 'refuse'; readonly reason: string; readonly retryAfterMs: number};

/** Behind an entry that ends, a caller's next connection leads to another one: two crossings between regions. */
const leavingRetryMs = 10;

/** What a begun answer needs to be whole: one that is cut by its caller's deadline is worth nothing, and takes as much of an engine. */
const answerTimeMs = (profile: EngineProfile | null): number => profile === null ? 0 : answerMs(profile);

/** Whether the answer surely ends before this entry does. */
const canEndHere = ({profile, leftMs}: Surroundings, {timeoutMs, mostAnswerTokens}: SeekingRequest, {expectedMs}: Placement): boolean => canEndInTime({
	expectedMs, leftMs, answerBoundMs: answerBoundMs({profile, mostAnswerTokens, timeoutMs}),
});

/** No endpoint serves: a caller waits for a moment, or for engines that are being filled, or is told when to come back. */
const withoutEndpoint = (demand: ServiceDemand, {profile, candidates, entryCount, random, nowMs}: Surroundings, request: SeekingRequest): NextStep => {
	const outlook = engineOutlook(candidates, nowMs);
	const verdict = decideWait({
		profile, outlook, hasComeBack: request.isLastTry, remainingMs: request.deadlineAtMs - nowMs, waitedMs: nowMs - request.sinceMs, isHeld: request.waitsFor === 'engines',
		heldCount: demand.heldCount, entryCount,
	});
	switch (verdict) {
		case 'brief': {
			return {type: 'wait', reason: 'moment'};
		}

		case 'held': {
			return {type: 'wait', reason: 'engines'};
		}

		case 'leave': {
			return {type: 'refuse', reason: 'no endpoint can take it', retryAfterMs: noEngineReturnMs(outlook, random)};
		}
	}
};

type UnavailableCandidate = {readonly id: string; readonly unavailability: Unavailability};

const unavailableCandidates = ({candidates, permitStateOf, nowMs}: Surroundings, {triedIds}: SeekingRequest): UnavailableCandidate[] => candidates.flatMap(candidate => {
	const {announcement: {id, state}, load: {isLeaving}} = candidate;
	const availability = availabilityAt(candidate, permitStateOf(candidate), nowMs);
	return availability.type === 'available' || state !== 'ready' || isLeaving || triedIds.has(id) ? [] : [{id, unavailability: availability}];
});

const place = (demand: ServiceDemand, surroundings: Surroundings, request: SeekingRequest, excludedIds: ReadonlySet<string>): Placement | null => placeRequest({
	...surroundings, promptTokens: request.promptTokens, objectiveMs: request.objectiveMs, isBegun: request.isBegun, excludedIds,
	othersPerSecond: arrivalsPerSecond(demand.sending, surroundings.nowMs) * (surroundings.entryCount - 1),
});

const pausedIds = ({candidates, nowMs}: Surroundings): string[] => candidates.filter(({load}) => isPaused(load, nowMs)).map(({announcement: {id}}) => id);

/** The endpoint that would be chosen if limits did not apply; `null` if there is none or its limit allows a request now. */
export const preferredLimited = (demand: ServiceDemand, surroundings: Surroundings, request: SeekingRequest): Candidate | null => {
	const preferred = place(demand, surroundings, request, new Set([...request.triedIds, ...pausedIds(surroundings)]))?.candidate ?? null;
	return preferred === null || surroundings.permitStateOf(preferred).type === 'available' ? null : preferred;
};

const unavailableReason = (unavailable: readonly Unavailability[]): string => {
	const pausedCount = unavailable.filter(({type}) => type === 'paused').length;
	if (pausedCount === 0) {
		return 'every endpoint is at the limit that it names';
	}

	return pausedCount === unavailable.length ? 'every endpoint has asked for a pause' : 'every endpoint has asked for a pause or is at the limit that it names';
};

/** Spreads the retries of refused callers after the time when an endpoint is expected to accept them. */
const availableSpreadMs = 1000;

/**
 * Handles the case that endpoints serve but accept no more requests for now. A
 * request waits only if they are expected to accept it, behind those already
 * waiting, within a brief wait.
 */
const withoutAvailable = ({queuedCount}: ServiceDemand, {random, nowMs}: Surroundings, request: SeekingRequest, unavailable: readonly UnavailableCandidate[]): NextStep => {
	const unavailability = unavailable.map(({unavailability}) => unavailability);
	const aheadCount = request.waitsFor === 'availability' ? queuedCount - 1 : queuedCount;
	if (aheadCount < acceptedUntil(unavailability, briefWaitEndsAtMs(request))) {
		return {type: 'wait', reason: 'availability'};
	}

	const waitMs = Math.max(0, acceptedAtMs(unavailability, aheadCount) - nowMs);
	return {type: 'refuse', reason: unavailableReason(unavailability), retryAfterMs: waitMs + random.between(0, availableSpreadMs)};
};

/** What becomes of a request for which an endpoint is sought. */
export const nextStep = (demand: ServiceDemand, surroundings: Surroundings, request: SeekingRequest): NextStep => {
	const {profile, random, nowMs} = surroundings;
	const unavailable = unavailableCandidates(surroundings, request);
	const excludedIds = unavailable.length === 0 ? request.triedIds : new Set([...request.triedIds, ...unavailable.map(({id}) => id)]);
	const placement = place(demand, surroundings, request, excludedIds);
	if (placement === null) {
		return unavailable.length > 0 && place(demand, surroundings, request, request.triedIds) !== null
			? withoutAvailable(demand, surroundings, request, unavailable)
			: withoutEndpoint(demand, surroundings, request);
	}

	if (!canEndHere(surroundings, request, placement)) {
		return {type: 'refuse', reason: 'this entry ends before the answer would', retryAfterMs: leavingRetryMs};
	}

	if (request.sentCount > 0) {
		return {type: 'send', placement};
	}

	const excessMs = profile === null ? 0 : Math.max(0, readMs(profile, request.promptTokens - profile.usualPromptTokens));
	const spareMs = profile === null ? Number.POSITIVE_INFINITY : spareFirstTokenMs(profile);
	if (placement.expectedMs - excessMs <= spareMs) {
		noteSpareRoom(demand.spareRoom, nowMs);
	}

	const leftMs = request.deadlineAtMs - nowMs - answerTimeMs(profile);
	const admission = admitRequest({
		retryClass: request.retryClass, expectedMs: placement.expectedMs, objectiveMs: request.objectiveMs, boundMs: boundObjectiveMs(demand.objectives, request.objectiveMs, nowMs),
		excessMs, spareMs, isOverloaded: isOverloaded(demand.objectives, nowMs), hasComeBack: request.isLastTry, waitedMs: nowMs - request.receivedAtMs, remainingMs: leftMs, random,
	});
	return admission.type === 'admitted'
		? {type: 'send', placement}
		: withoutRoom(demand, surroundings, request, {...admission, leftMs});
};

type Refusal = {readonly reason: string; readonly retryAfterMs: number; /** In which it can still be begun and answered whole. */ readonly leftMs: number};

/** Endpoints serve, and have more than they can begin in time. */
const withoutRoom = ({spareRoom, objectives}: ServiceDemand, {nowMs}: Surroundings, request: SeekingRequest, {reason, retryAfterMs, leftMs}: Refusal): NextStep => {
	if (request.waitsFor === 'engines' && leftMs > 0) {
		// Engines are back, and those that were held go in as there is room: all entries see the first one empty at once, and would fill its queue for seconds.
		return {type: 'wait', reason: 'engines'};
	}

	if (request.waitsFor !== 'engines' && request.isLastTry && leftMs > 0 && mayWaitForRoom(spareRoom, nowMs - request.sinceMs, nowMs)) {
		return {type: 'wait', reason: 'moment'};
	}

	if (!request.isLastTry) {
		// How its kind fares beside the others.
		noteRefused(objectives, request.objectiveMs, nowMs);
	}

	return {type: 'refuse', reason, retryAfterMs};
};
