import type {EngineProfile, RetryClass} from '@bitternpaddle/state';
import type {PermitState} from '../endpoint-limits/permit-account.js';
import type {Random} from '../utils/random.js';
import {admitRequest, spreadRetryMs, tooLateReason} from './admit.js';
import {arrivalsPerSecond, type ArrivalRate} from './arrival-rate.js';
import {
	acceptedAtMs, acceptedUntil, availabilityAt, type Unavailability,
} from './availability.js';
import {capacityPerSecond, mayWaitInOrder} from './capacity-wait.js';
import {isPaused} from './endpoint-pause.js';
import {prefillMs, spareFirstTokenMs} from './engine-model.js';
import {maxAnswerMs, canFinishInTime} from './leaving.js';
import {
	effectiveObjectiveOf, isOverloaded, recordRefusal, strictestObjectiveMs, type ObjectiveMix,
} from './objective-mix.js';
import {waitsForPermit} from './permit-wait.js';
import {placeRequest, type Candidate, type Placement} from './place-request.js';
import {isEstimateStale, isUneven} from './plain-model.js';
import {
	recordLack, recordRefusedDemand, recordServed, workMs, type Occurrence, type PriorityDemand,
} from './priority-demand.js';
import {
	hasIdleEngines, lackMs, queuedAheadShare, roomLimitOf, type RoomLimit, type RoomView,
} from './priority-room.js';
import {promiseRetry} from './retry-promise.js';
import {
	mayWaitBeforeOthers, mayWaitForCapacity, recordSpareCapacity, type SpareCapacity,
} from './spare-capacity.js';
import {maxStartShare} from './start-share.js';
import type {VersionDue} from './version-due.js';
import {
	answerMs, briefWaitEndsAtMs, decideWait, engineOutlook, noEngineRetryMs,
} from './wait-for-engine.js';

/** State that an entry keeps for one service across requests. */
export type ServiceDemand = {
	/** Rate of the requests that this entry sends to its endpoints. */
	readonly sendRate: ArrivalRate;
	/** Arrivals and refusals by latency objective. */
	readonly objectives: ObjectiveMix;
	/** When its engines last had a free slot. */
	readonly spareCapacity: SpareCapacity;
	/** Share of the objective that an estimate may use up. @default 0.8 */
	readonly startShare?: number;
	/** Requests that are held until engines are ready. */
	readonly heldCount: number;
	/** Requests that wait until an endpoint accepts one more. */
	readonly queuedCount: number;
	/** Requests that wait for capacity at this entry and that the request must not overtake; without itself. */
	readonly capacityAheadCount: number;
};

/** An entry's view of a service, and of its own state, at one moment. */
export type PlacementContext = {
	readonly candidates: readonly Candidate[];
	/** Whether the limit of an endpoint allows a request to be sent now. */
	permitStateOf(candidate: Candidate): PermitState;
	/** `null` for a plain service. */
	readonly profile: EngineProfile | null;
	readonly zoneId: string;
	readonly entryCount: number;
	/** Share of the service's requests that the candidates receive; less than 1 if the request may not be sent to all of its endpoints. @default 1 */
	readonly demandShare?: number;
	/** The versions of the weights that requests must start on, each with the time from which it is required. */
	readonly dues: readonly VersionDue[];
	/** Time until this entry aborts running requests; infinite unless it is shutting down. */
	readonly shutdownInMs: number;
	/** `null` if all requests of the service have one priority. */
	readonly room: RoomView | null;
	readonly random: Random;
	readonly nowMs: number;
};

/** A request that needs an endpoint. */
export type UnplacedRequest = {
	/** Whether its caller was refused before and has no further retry. */
	readonly isLastTry: boolean;
	/** Its team's priority if it has one, otherwise its route's; 0 is the most urgent. */
	readonly priority: number;
	/** `null` if its route requires no key. */
	readonly teamName: string | null;
	readonly routeName: string;
	readonly deadlineAtMs: number;
	readonly retryClass: RetryClass;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	readonly promptTokens: number;
	/** 0 if its caller does not state it. */
	readonly maxAnswerTokens: number;
	readonly receivedAtMs: number;
	/** When the search for an endpoint started. */
	readonly sinceMs: number;
	/** Whether part of its answer has been sent. */
	readonly isBegun: boolean;
	/** The number of endpoints that it was sent to. */
	readonly sentCount: number;
	readonly triedIds: ReadonlySet<string>;
	/** What it waits for, as determined by the previous check; `null` before the first. */
	readonly waitsFor: WaitReason | null;
};

/**
 * `moment`: engines are switching, restarting or out of capacity. `engines`: they are
 * loading weights. `availability`: endpoints serve but accept no more requests for
 * now. `capacity`: engines serve but have no capacity for its priority.
 */
export type WaitReason = 'moment' | 'engines' | 'availability' | 'capacity';

/** What to do with a request now. */
export type NextStep
	= | {readonly type: 'send'; readonly placement: Placement}
		/** Check again shortly; at once and in order if there is capacity that those who wait for it must get first. */
		| {readonly type: 'wait'; readonly reason: WaitReason; readonly isAtOnce?: boolean}
		| {
			readonly type: 'refuse';
			readonly reason: string;
			readonly retryAfterMs: number;
			/** The best placement, if even that cannot answer in the time left; only for a service whose endpoints advertise their slowdown. */
			readonly tooLate?: TooLate;
			/** The limit by which it was refused for load; `null` or absent if none applied. */
			readonly allocation?: Allocation | null;
			/** The best placement, if it was refused by the estimate for it. */
			readonly placement?: Placement;
		};

export type TooLate = {readonly placement: Placement; /** The time within which it must be answered, or be started to be answered completely. */ readonly remainingMs: number};

/** The limit that applied to a request, and its expected wait, judged as for a usual prompt. */
export type Allocation = RoomLimit & {readonly expectedMs: number};

/** While an entry shuts down, a caller's next connection leads to another entry; this is the time of a round trip between regions. */
const shutdownRetryMs = 10;

/** A caller whose further attempt is not sent has little time left, so it may retry at once at another entry. */
const tooLateRetryMs = 100;

/** Time that a complete answer takes once it has started. An answer that is aborted at its caller's deadline is worthless but uses as much engine capacity. */
const answerTimeMs = (profile: EngineProfile | null): number => profile === null ? 0 : answerMs(profile);

/** Whether the answer ends before this entry does. A request that was sent once is not refused for that: it may have run, and no other entry can continue its answer. */
const canFinishHere = ({profile, shutdownInMs, nowMs}: PlacementContext, {timeoutMs, maxAnswerTokens, deadlineAtMs, sentCount}: UnplacedRequest, {expectedMs}: Placement): boolean => sentCount > 0
	|| canFinishInTime({
		expectedMs, remainingMs: shutdownInMs, dueInMs: deadlineAtMs - nowMs, maxAnswerMs: maxAnswerMs({profile, maxTokens: maxAnswerTokens, timeoutMs}),
	});

/** Handles the case that no endpoint serves: the request waits briefly, is held until engines have loaded, or is refused with a retry time. */
const withoutEndpoint = (demand: ServiceDemand, {profile, candidates, entryCount, random, nowMs}: PlacementContext, request: UnplacedRequest): NextStep => {
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
			return {type: 'refuse', reason: 'no endpoint can take it', retryAfterMs: noEngineRetryMs(outlook, random)};
		}
	}
};

type UnavailableCandidate = {readonly id: string; readonly unavailability: Unavailability};

const unavailableCandidates = ({candidates, permitStateOf, nowMs}: PlacementContext, {triedIds}: UnplacedRequest): UnavailableCandidate[] => candidates.flatMap(candidate => {
	const {announcement: {id, state}, load: {isLeaving}} = candidate;
	const availability = availabilityAt(candidate, permitStateOf(candidate), nowMs);
	return availability.type === 'available' || state !== 'ready' || isLeaving || triedIds.has(id) ? [] : [{id, unavailability: availability}];
});

/** Requests per second that other entries send to the service's endpoints, as estimated by this entry's own. */
const othersPerSecond = ({sendRate}: ServiceDemand, {entryCount, demandShare = 1, nowMs}: PlacementContext): number => arrivalsPerSecond(sendRate, nowMs) * (entryCount - 1) * demandShare;

/** Caller retries go last in an engine's queue, whatever their priority. */
const aheadShareOf = ({room, nowMs}: PlacementContext, {priority, isLastTry}: UnplacedRequest): number => room === null || isLastTry ? 1 : queuedAheadShare(room, priority, nowMs);

const place = (demand: ServiceDemand, context: PlacementContext, request: UnplacedRequest, excludedIds: ReadonlySet<string>): Placement | null => placeRequest({
	...context, promptTokens: request.promptTokens, objectiveMs: request.objectiveMs, dueInMs: request.deadlineAtMs - context.nowMs, isBegun: request.isBegun, excludedIds,
	othersPerSecond: othersPerSecond(demand, context), queuedAheadShare: aheadShareOf(context, request),
});

const pausedIds = ({candidates, nowMs}: PlacementContext): string[] => candidates.filter(({load}) => isPaused(load, nowMs)).map(({announcement: {id}}) => id);

/** The placement if limits did not apply; `null` if there is none or the endpoint's limit allows a request now. */
export const preferredLimited = (demand: ServiceDemand, context: PlacementContext, request: UnplacedRequest): Placement | null => {
	const preferred = place(demand, context, request, new Set([...request.triedIds, ...pausedIds(context)]));
	return preferred === null || context.permitStateOf(preferred.candidate).type === 'available' ? null : preferred;
};

const unavailableReason = (unavailable: readonly Unavailability[]): string => {
	const pausedCount = unavailable.filter(({type}) => type === 'paused').length;
	if (pausedCount === 0) {
		return unavailable.some(unavailability => unavailability.type === 'limited' && unavailability.isCold === true)
			? 'every endpoint is at its limit, at least one because it is cold'
			: 'every endpoint is at the limit that it names';
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
const withoutAvailable = ({queuedCount}: ServiceDemand, {random, nowMs}: PlacementContext, request: UnplacedRequest, unavailable: readonly UnavailableCandidate[]): NextStep => {
	const unavailability = unavailable.map(({unavailability}) => unavailability);
	const aheadCount = request.waitsFor === 'availability' ? queuedCount - 1 : queuedCount;
	if (aheadCount < acceptedUntil(unavailability, briefWaitEndsAtMs(request))) {
		return {type: 'wait', reason: 'availability'};
	}

	const waitMs = Math.max(0, acceptedAtMs(unavailability, aheadCount) - nowMs);
	return {type: 'refuse', reason: unavailableReason(unavailability), retryAfterMs: waitMs + random.between(0, availableSpreadMs)};
};

/** Applies only to a service whose endpoints advertise their slowdown. */
const tooLateAt = ({candidates}: PlacementContext, placement: Placement, remainingMs: number): TooLate | null => placement.expectedMs >= remainingMs && isUneven(candidates)
	? {placement, remainingMs}
	: null;

const furtherAttempt = ({isBegun}: UnplacedRequest, placement: Placement, tooLate: TooLate | null): NextStep => tooLate === null || isBegun
	// An answer that has begun is continued in any case: its caller keeps what it gets.
	? {type: 'send', placement}
	: {
		type: 'refuse', reason: 'no endpoint can answer a further attempt in the time that is left', retryAfterMs: tooLateRetryMs, tooLate,
	};

/** Whether the estimate of a plain endpoint is too old to refuse a first attempt by it. */
const mayProbe = ({profile, nowMs}: PlacementContext, {isLastTry}: UnplacedRequest, {candidate: {load}}: Placement): boolean => profile === null && !isLastTry && isEstimateStale(load, nowMs);

/** Decides what to do with a request that needs an endpoint. `preferred`: the limited placement that permits were requested for; `null` if there is none or the request cannot wait. */
export const nextStep = (demand: ServiceDemand, context: PlacementContext, request: UnplacedRequest, preferred: Placement | null = null): NextStep => {
	const {profile, nowMs} = context;
	const unavailable = unavailableCandidates(context, request);
	const excludedIds = unavailable.length === 0 ? request.triedIds : new Set([...request.triedIds, ...unavailable.map(({id}) => id)]);
	const placement = place(demand, context, request, excludedIds);
	if (placement === null) {
		return unavailable.length > 0 && place(demand, context, request, request.triedIds) !== null
			? withoutAvailable(demand, context, request, unavailable)
			: withoutEndpoint(demand, context, request);
	}

	if (preferred !== null && waitsForPermit({
		preferred, permitState: context.permitStateOf(preferred.candidate), other: placement, objectiveMs: request.objectiveMs, sinceMs: request.sinceMs, nowMs,
	})) {
		return {type: 'wait', reason: 'availability'};
	}

	if (!canFinishHere(context, request, placement)) {
		return {type: 'refuse', reason: 'this entry ends before the answer would', retryAfterMs: shutdownRetryMs};
	}

	const timeToStartMs = request.deadlineAtMs - nowMs - answerTimeMs(profile);
	const tooLate = tooLateAt(context, placement, timeToStartMs);
	if (request.sentCount > 0) {
		return furtherAttempt(request, placement, tooLate);
	}

	if (tooLate !== null && mayProbe(context, request, placement)) {
		return {type: 'send', placement};
	}

	const step = admitOrWait(demand, context, request, placement);
	if (tooLate === null || step.type === 'send') {
		return step;
	}

	return withTooLate(context, step, tooLate);
};

/**
 * What to do with a first attempt that no endpoint can answer in time. A caller with a
 * deadline of a second needs the rest of its time for a retry: waiting would use it up.
 */
const withTooLate = ({profile, random}: PlacementContext, step: Exclude<NextStep, {type: 'send'}>, tooLate: TooLate): NextStep => {
	if (step.type === 'refuse') {
		return {...step, tooLate};
	}

	return profile === null
		? {
			type: 'refuse', reason: tooLateReason, retryAfterMs: spreadRetryMs(random), tooLate,
		}
		: step;
};

/** Whether requests that wait for capacity go before an arriving one. */
const isOvertaking = ({capacityAheadCount}: ServiceDemand, room: RoomLimit, {waitsFor, retryClass}: UnplacedRequest): boolean => capacityAheadCount > 0
	&& waitsFor === null && retryClass === 'streaming' && room.rule !== 'minimum';

const admitOrWait = (demand: ServiceDemand, context: PlacementContext, request: UnplacedRequest, placement: Placement): NextStep => {
	const {profile, random, nowMs} = context;
	const excessMs = profile === null ? 0 : Math.max(0, prefillMs(profile, request.promptTokens - profile.usualPromptTokens));
	const spareMs = profile === null ? Number.POSITIVE_INFINITY : spareFirstTokenMs(profile);
	if (placement.expectedMs - excessMs <= spareMs) {
		recordSpareCapacity(demand.spareCapacity, nowMs);
	}

	const isFirstCheck = request.waitsFor === null && !request.isLastTry;
	if (isFirstCheck && profile !== null && placement.expectedMs - excessMs > lackMs(profile)) {
		recordIn(context, request, recordLack);
	}

	const room = roomOf(demand, context, request);
	const isIdle = room !== null && hasIdleEngines(context.candidates, othersPerSecond(demand, context), nowMs);
	const timeToStartMs = request.deadlineAtMs - nowMs - answerTimeMs(profile);
	const admission = admitRequest({
		retryClass: request.retryClass, expectedMs: placement.expectedMs, objectiveMs: request.objectiveMs,
		effectiveObjectiveMs: room === null ? effectiveObjectiveOf(demand.objectives, request.objectiveMs, nowMs) : request.objectiveMs,
		excessMs, spareMs, isOverloaded: room === null ? isOverloaded(demand.objectives, nowMs) : room.isOverloaded,
		room, startShare: demand.startShare, isIdle,
		hasComeBack: request.isLastTry, waitedMs: nowMs - request.receivedAtMs, remainingMs: timeToStartMs, random,
	});
	if (admission.type === 'refused') {
		const allocation = room === null ? null : {...room, expectedMs: placement.expectedMs - excessMs};
		return withoutCapacity(demand, context, request, {
			...admission, timeToStartMs, allocation, placement,
		});
	}

	if (room !== null && !isIdle && isOvertaking(demand, room, request)) {
		return {type: 'wait', reason: 'capacity', isAtOnce: true};
	}

	recordIn(context, request, recordServed);
	return {type: 'send', placement};
};

type RequestSize = Pick<UnplacedRequest, 'promptTokens' | 'maxAnswerTokens'>;

/** Engine time that a request is expected to take. */
export const requestWorkMs = (profile: EngineProfile, {promptTokens, maxAnswerTokens}: RequestSize): number => workMs(profile, promptTokens, maxAnswerTokens || profile.usualAnswerTokens);

type RecordDemand = (demand: PriorityDemand, occurrence: Occurrence, work: number) => void;

const recordIn = ({room, profile, nowMs}: PlacementContext, request: UnplacedRequest, record: RecordDemand): void => {
	if (room !== null && profile !== null) {
		record(room.demand, {source: request, profile, nowMs}, requestWorkMs(profile, request));
	}
};

const roomOf = ({objectives, startShare = maxStartShare}: ServiceDemand, {room, profile, random, nowMs}: PlacementContext, request: UnplacedRequest): RoomLimit | null => {
	if (room === null || profile === null) {
		return null;
	}

	const topLimitMs = startShare * Math.min(request.objectiveMs, strictestObjectiveMs(objectives, nowMs));
	return roomLimitOf(room, {
		...request, profile, topLimitMs, random, nowMs,
	});
};

type Refusal = {
	readonly reason: string;
	readonly retryAfterMs: number;
	/** The time within which it can still be started and answered completely. */
	readonly timeToStartMs: number;
	readonly allocation: Allocation | null;
	readonly placement: Placement;
};

const promisedRetryMs = (room: RoomView, {random, nowMs}: PlacementContext, {priority, deadlineAtMs}: UnplacedRequest, {allocation}: Refusal): number => promiseRetry(room.promises, {
	priority, capacityPerSecond: capacityPerSecond(room.demand, room.priorities, priority, nowMs), remainingMs: deadlineAtMs - nowMs, random, nowMs,
	excessWaitMs: allocation !== null && Number.isFinite(allocation.limitMs) ? allocation.expectedMs - allocation.limitMs : 0,
});

/** Whether this entry serves requests that are less urgent. */
const servesLessUrgent = ({room, nowMs}: PlacementContext, {priority}: UnplacedRequest): boolean => {
	const next = room?.priorities.find(other => other > priority);
	return room !== null && next !== undefined && capacityPerSecond(room.demand, room.priorities, next, nowMs) > 0;
};

/** Handles the case that endpoints serve but have more requests than they can start in time. */
const withoutCapacity = ({spareCapacity, objectives, capacityAheadCount}: ServiceDemand, context: PlacementContext, request: UnplacedRequest, refusal: Refusal): NextStep => {
	const {room, nowMs} = context;
	const {reason, retryAfterMs, timeToStartMs, allocation, placement} = refusal;
	if (request.waitsFor === 'engines' && timeToStartMs > 0) {
		// Engines are back, and held requests are sent as capacity permits: all entries see the first engine as empty at the same time, and would fill its queue for seconds.
		return {type: 'wait', reason: 'engines'};
	}

	// Without the prospect of capacity, a caller retry would be held until its deadline and get nothing.
	const waitedMs = nowMs - request.sinceMs;
	const isHopeless = request.isLastTry && !mayWaitForCapacity(spareCapacity, waitedMs, nowMs) && !(mayWaitBeforeOthers(waitedMs) && servesLessUrgent(context, request));
	if (room !== null && !isHopeless && request.waitsFor !== 'engines' && mayWaitInOrder({
		...room, ...request, waitedMs, timeToStartMs, aheadCount: capacityAheadCount, nowMs,
	})) {
		return {type: 'wait', reason: 'capacity'};
	}

	if (room === null && !isHopeless && request.waitsFor !== 'engines' && request.isLastTry && timeToStartMs > 0) {
		return {type: 'wait', reason: 'moment'};
	}

	if (!request.isLastTry) {
		// Refusals of first attempts are compared between objectives.
		recordRefusal(objectives, request.objectiveMs, nowMs);
		recordIn(context, request, recordRefusedDemand);
	}

	return {
		type: 'refuse', reason, retryAfterMs: room === null ? retryAfterMs : promisedRetryMs(room, context, request, refusal), allocation, placement,
	};
};
