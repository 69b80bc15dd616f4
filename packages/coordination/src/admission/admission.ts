import {
	createFairQueue, dropRequest, popRequest, pushRequest, returnRequest, teamQueueOf, waitingInOrder, type FairQueue, type TeamQueue,
} from './fair-queue.js';
import {
	advanceRate, createServiceRate, expectedWaitMs, noteServed, slackMsOf, type ServiceRate,
} from './service-rate.js';
import {
	createTokenBucket, returnTokens, setBucketRate, takeTokens, type TokenBucket,
} from './token-bucket.js';
import type {
	AdmissionRefusal, AdmissionRequest, OfferResult, QueuedRequest, RefusalReason,
} from './types.js';

export type AdmissionOptions = {
	/** Tokens a second for all teams over all entries; `null` for no limit. @default null */
	readonly fleetTokensPerSecond?: number | null;
	/** Seconds of its rate that a team can save up. @default 10 */
	readonly burstSeconds?: number;
	/** Requests of one team that wait for one target. @default 512 */
	readonly maxQueuedPerTeam?: number;
	/** Requests that wait for one target. @default 2048 */
	readonly maxQueuedPerTarget?: number;
	/** How much earlier a request of the next more urgent priority counts as having come. @default 2000 */
	readonly priorityStepMs?: number;
};

type Target = {readonly queue: FairQueue; readonly rate: ServiceRate; readonly running: Set<QueuedRequest>};

type Team = {readonly weight: number; bucket: TokenBucket | null};

/** One entry's queues and limits. */
export type AdmissionState = {
	readonly options: Required<AdmissionOptions>;
	readonly teams: Map<string, Team>;
	readonly targets: Map<string, Target>;
	readonly requests: Map<string, QueuedRequest>;
	totalWeight: number;
	/** Entries that share the fleet-wide limit. */
	entries: number;
};

export const createAdmission = (options: AdmissionOptions = {}): AdmissionState => ({
	options: {
		fleetTokensPerSecond: null, burstSeconds: 10, maxQueuedPerTeam: 512, maxQueuedPerTarget: 2048, priorityStepMs: 2000, ...options,
	},
	teams: new Map(), targets: new Map(), requests: new Map(), totalWeight: 0, entries: 1,
});

export type Shares = {
	/** Weight by team. */
	readonly teams: ReadonlyMap<string, number>;
	/** Entries that share the fleet-wide limit. */
	readonly entries: number;
};

/** Takes the teams' shares and the number of entries; called when either changes. */
export const setShares = (state: AdmissionState, {teams, entries}: Shares, nowMs: number): void => {
	state.entries = Math.max(1, entries);
	state.totalWeight = 0;
	for (const weight of teams.values()) {
		state.totalWeight += weight;
	}

	for (const teamId of state.teams.keys()) {
		if (!teams.has(teamId)) {
			state.teams.delete(teamId);
		}
	}

	for (const [teamId, weight] of teams) {
		state.teams.set(teamId, {weight, bucket: bucketFor(state, teamId, weight, nowMs)});
	}
};

const bucketFor = (state: AdmissionState, teamId: string, weight: number, nowMs: number): TokenBucket | null => {
	const {fleetTokensPerSecond, burstSeconds} = state.options;
	if (fleetTokensPerSecond === null) {
		return null;
	}

	const ratePerSecond = fleetTokensPerSecond * weight / state.totalWeight / state.entries;
	const burst = ratePerSecond * burstSeconds;
	const known = state.teams.get(teamId)?.bucket ?? null;
	if (known === null) {
		return createTokenBucket({ratePerSecond, burst, nowMs});
	}

	setBucketRate(known, ratePerSecond, burst, nowMs);
	return known;
};

const weightOf = (state: AdmissionState, teamId: string): number => state.teams.get(teamId)?.weight ?? 1;

const targetOf = (state: AdmissionState, key: string, nowMs: number): Target => {
	let target = state.targets.get(key);
	if (target === undefined) {
		target = {queue: createFairQueue(), rate: createServiceRate(nowMs), running: new Set()};
		state.targets.set(key, target);
	}

	return target;
};

const refuse = (requestId: string, reason: RefusalReason, retryAfterMs: number): AdmissionRefusal => ({
	type: 'refused', requestId, reason, retryAfterMs: Math.min(30_000, Math.max(100, Math.ceil(retryAfterMs))),
});

/** A team's wait for what it has queued: its own backlog at its share, at most the whole backlog at the whole rate. */
const waitMsFor = ({queue, rate}: Target, team: TeamQueue, costAhead: number): number => {
	const weights = queue.waitingWeight + (team.count === 0 ? team.weight : 0);
	return Math.min(expectedWaitMs(rate, costAhead, team.weight / weights), expectedWaitMs(rate, queue.cost, 1));
};

/**
 * Queues a request or refuses it at once. Work that cannot end by its deadline
 * is refused here, not when the deadline is near: the caller can still go
 * elsewhere, and what waits behind it is not held up.
 */
export const offerRequest = (state: AdmissionState, request: AdmissionRequest, nowMs: number): OfferResult => {
	const target = targetOf(state, request.target, nowMs);
	const team = teamQueueOf(target.queue, request.teamId, weightOf(state, request.teamId));
	const refusal = objection(state, target, team, {request, nowMs}) ?? takeFromBucket(state, request, nowMs);
	if (refusal !== null) {
		return refusal;
	}

	const item: QueuedRequest = {
		request, rank: nowMs + (request.priority * state.options.priorityStepMs), state: 'waiting', offeredAtMs: nowMs, takenAtMs: 0,
	};
	state.requests.set(request.requestId, item);
	pushRequest(target.queue, team, item);
	return {type: 'queued'};
};

const takeFromBucket = (state: AdmissionState, {requestId, teamId, cost}: AdmissionRequest, nowMs: number): AdmissionRefusal | null => {
	const bucket = state.teams.get(teamId)?.bucket ?? null;
	const waitMs = bucket === null ? 0 : takeTokens(bucket, cost, nowMs);
	return waitMs === 0 ? null : refuse(requestId, 'teamLimit', waitMs);
};

type Asking = {readonly request: AdmissionRequest; readonly nowMs: number};

const objection = (state: AdmissionState, target: Target, team: TeamQueue, {request, nowMs}: Asking): AdmissionRefusal | null => {
	const {queue, rate} = target;
	if (queue.count === 0) {
		return null;
	}

	const waitMs = waitMsFor(target, team, team.cost);
	if (queue.count >= state.options.maxQueuedPerTarget) {
		return refuse(request.requestId, 'targetQueueFull', waitMs);
	}

	// Dynamic threshold: a team may hold as much as is still free, so however
	// many come at once, the next team finds room without pushing anybody out.
	const free = state.options.maxQueuedPerTarget - queue.count;
	if (team.count >= Math.min(state.options.maxQueuedPerTeam, free)) {
		return refuse(request.requestId, 'teamQueueFull', waitMs);
	}

	const slackMs = slackMsOf(rate, request, nowMs);
	return waitMs > slackMs ? refuse(request.requestId, 'deadline', waitMs - slackMs) : null;
};

export type TakeResult = {
	readonly request: AdmissionRequest | null;
	/** Those on the way whose deadline can no longer be met. */
	readonly refused: readonly AdmissionRefusal[];
};

/** The next request in fair order; called when an endpoint has room. */
export const takeRequest = (state: AdmissionState, targetKey: string, nowMs: number): TakeResult => {
	const refused: AdmissionRefusal[] = [];
	const target = state.targets.get(targetKey);
	for (;;) {
		const item = target === undefined ? null : popRequest(target.queue);
		if (item === null) {
			return {request: null, refused};
		}

		const {request} = item;
		if (slackMsOf(target!.rate, request, nowMs) >= 0 || nowMs === item.offeredAtMs) {
			item.takenAtMs = nowMs;
			target!.running.add(item);
			return {request, refused};
		}

		state.requests.delete(request.requestId);
		returnToBucket(state, request);
		refused.push(refuse(request.requestId, 'deadline', expectedWaitMs(target!.rate, target!.queue.cost, 1)));
	}
};

const returnToBucket = (state: AdmissionState, {teamId, cost}: AdmissionRequest): void => {
	const bucket = state.teams.get(teamId)?.bucket ?? null;
	if (bucket !== null) {
		returnTokens(bucket, cost);
	}
};

/** Puts a taken request back in its old place: the endpoint turned out to be full. */
export const returnToQueue = (state: AdmissionState, requestId: string): void => {
	const item = state.requests.get(requestId);
	if (item?.state !== 'taken') {
		return;
	}

	const {queue, running} = state.targets.get(item.request.target)!;
	running.delete(item);
	returnRequest(queue, teamQueueOf(queue, item.request.teamId, weightOf(state, item.request.teamId)), item);
};

/** The caller has gone. What still waits leaves the queue; what runs is ended by `finishRequest`. */
export const cancelRequest = (state: AdmissionState, requestId: string): void => {
	const item = state.requests.get(requestId);
	if (item?.state !== 'waiting') {
		return;
	}

	dropRequest(state.targets.get(item.request.target)!.queue, item);
	returnToBucket(state, item.request);
	state.requests.delete(requestId);
};

export type Finish = {
	/** The endpoint did the work, so the time tells how fast it is. */
	readonly hasRun: boolean;
};

export const finishRequest = (state: AdmissionState, requestId: string, {hasRun}: Finish, nowMs: number): void => {
	const item = state.requests.get(requestId);
	if (item?.state !== 'taken') {
		return;
	}

	state.requests.delete(requestId);
	const target = state.targets.get(item.request.target)!;
	target.running.delete(item);
	if (hasRun) {
		noteServed(target.rate, item, nowMs);
	}

	advanceTarget(target, nowMs);
};

const advanceTarget = ({queue, rate, running}: Target, nowMs: number): void => {
	advanceRate(rate, {isBacklogged: queue.count > 0, running, nowMs});
};

/**
 * Looks through the queues again, a few times a second: when capacity is lost
 * (a hall is gone), what can no longer be served in time is refused now
 * instead of at its deadline.
 */
export const tickAdmission = (state: AdmissionState, nowMs: number): AdmissionRefusal[] => {
	const refused: AdmissionRefusal[] = [];
	for (const target of state.targets.values()) {
		advanceTarget(target, nowMs);
		for (const team of target.queue.teams.values()) {
			if (team.count > 0) {
				shedLate(state, target, {team, refused, nowMs});
			}
		}
	}

	return refused;
};

type Shedding = {readonly team: TeamQueue; readonly refused: AdmissionRefusal[]; readonly nowMs: number};

const shedLate = (state: AdmissionState, target: Target, {team, refused, nowMs}: Shedding): void => {
	let costAhead = 0;
	for (const item of waitingInOrder(team)) {
		const {request} = item;
		const waitMs = waitMsFor(target, team, costAhead);
		const slackMs = slackMsOf(target.rate, request, nowMs);
		if (waitMs > slackMs) {
			cancelRequest(state, request.requestId);
			refused.push(refuse(request.requestId, 'deadline', waitMs - slackMs));
		} else {
			costAhead += request.cost;
		}
	}
};

/** Requests that wait for a target. */
export const waitingFor = (state: AdmissionState, targetKey: string): number => state.targets.get(targetKey)?.queue.count ?? 0;
