import {
	createFairQueue, dropRequest, popRequest, pushRequest, returnRequest, teamQueueOf, waitingInOrder, type FairQueue, type TeamQueue,
} from './fair-queue.js';
import {
	advanceRate, createServiceRate, expectedWaitMs, recordServed, slackMsOf, type ServiceRate,
} from './service-rate.js';
import {
	createTokenBucket, returnTokens, setBucketRate, takeTokens, type TokenBucket,
} from './token-bucket.js';
import type {
	AdmissionRefusal, AdmissionRequest, OfferResult, QueuedRequest, RefusalReason,
} from './types.js';

export type AdmissionOptions = {
	/** Fleet-wide limit in tokens per second, over all teams and entries; `null` disables it. @default null */
	readonly fleetTokensPerSecond?: number | null;
	/** Bucket size of a team, in seconds of its rate. @default 10 */
	readonly burstSeconds?: number;
	/** Maximum queued requests of one team per target. @default 512 */
	readonly maxQueuedPerTeam?: number;
	/** Maximum queued requests per target. @default 2048 */
	readonly maxQueuedPerTarget?: number;
	/** Head start that each priority level gives over the next less urgent one. @default 2000 */
	readonly priorityStepMs?: number;
};

type Target = {readonly queue: FairQueue; readonly rate: ServiceRate; readonly running: Set<QueuedRequest>};

type Team = {readonly weight: number; bucket: TokenBucket | null; offered: number};

/** Queues and rate limits of one entry. */
export type AdmissionState = {
	readonly options: Required<AdmissionOptions>;
	readonly teams: Map<string, Team>;
	readonly targets: Map<string, Target>;
	readonly requests: Map<string, QueuedRequest>;
	totalWeight: number;
	/** Number of entries that share the fleet-wide limit. */
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
	/** Number of entries that share the fleet-wide limit. */
	readonly entries: number;
	/** Tokens per second that this entry may admit, by team. @default an equal share */
	readonly rates?: ReadonlyMap<string, number>;
	/** Create buckets empty, because other entries may already have spent the burst. @default false */
	readonly startsEmpty?: boolean;
};

/** Applies the teams' weights and the number of entries; call it when either changes. */
export const setShares = (state: AdmissionState, shares: Shares, nowMs: number): void => {
	const {teams, entries} = shares;
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
		state.teams.set(teamId, {weight, bucket: bucketFor(state, teamId, shares, nowMs), offered: state.teams.get(teamId)?.offered ?? 0});
	}
};

const bucketFor = (state: AdmissionState, teamId: string, {teams, rates, startsEmpty = false}: Shares, nowMs: number): TokenBucket | null => {
	const {fleetTokensPerSecond, burstSeconds} = state.options;
	if (fleetTokensPerSecond === null) {
		return null;
	}

	const equalRate = fleetTokensPerSecond * teams.get(teamId)! / state.totalWeight / state.entries;
	const ratePerSecond = rates?.get(teamId) ?? equalRate;
	// Loans change the rate but not the burst, so the total burst over all entries stays constant.
	const burst = equalRate * burstSeconds;
	const existing = state.teams.get(teamId)?.bucket ?? null;
	if (existing === null) {
		const bucket = createTokenBucket({ratePerSecond, burst, nowMs});
		bucket.level = startsEmpty ? 0 : burst;
		return bucket;
	}

	setBucketRate(existing, ratePerSecond, burst, nowMs);
	return existing;
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

/** Expected wait for a team: its own backlog at its share of the rate, capped by the total backlog at the full rate. */
const expectedTeamWaitMs = ({queue, rate}: Target, team: TeamQueue, costAhead: number): number => {
	const weights = queue.waitingWeight + (team.count === 0 ? team.weight : 0);
	return Math.min(expectedWaitMs(rate, costAhead, team.weight / weights), expectedWaitMs(rate, queue.cost, 1));
};

/**
 * Queues a request or refuses it immediately. Work that cannot meet its deadline
 * is refused here rather than at the deadline, so that the caller can still try
 * elsewhere and the requests behind it are not delayed.
 */
export const offerRequest = (state: AdmissionState, request: AdmissionRequest, nowMs: number): OfferResult => {
	const target = targetOf(state, request.target, nowMs);
	const team = teamQueueOf(target.queue, request.teamId, weightOf(state, request.teamId));
	const refusal = findRefusal(state, target, team, {request, nowMs}) ?? chargeBucket(state, request, nowMs);
	if (refusal !== null) {
		return refusal;
	}

	const item: QueuedRequest = {
		request, rank: nowMs + (request.priority * state.options.priorityStepMs), state: 'waiting', enqueuedAtMs: nowMs, dispatchedAtMs: 0,
	};
	state.requests.set(request.requestId, item);
	pushRequest(target.queue, team, item);
	return {type: 'queued'};
};

const chargeBucket = (state: AdmissionState, {requestId, teamId, cost}: AdmissionRequest, nowMs: number): AdmissionRefusal | null => {
	const team = state.teams.get(teamId);
	const bucket = team?.bucket ?? null;
	if (team === undefined || bucket === null) {
		return null;
	}

	team.offered += cost;
	const waitMs = takeTokens(bucket, cost, nowMs);
	return waitMs === 0 ? null : refuse(requestId, 'teamLimit', waitMs);
};

type AdmissionCheck = {readonly request: AdmissionRequest; readonly nowMs: number};

const findRefusal = (state: AdmissionState, target: Target, team: TeamQueue, {request, nowMs}: AdmissionCheck): AdmissionRefusal | null => {
	const {queue, rate} = target;
	if (queue.count === 0) {
		return null;
	}

	const waitMs = expectedTeamWaitMs(target, team, team.cost);
	if (queue.count >= state.options.maxQueuedPerTarget) {
		return refuse(request.requestId, 'targetQueueFull', waitMs);
	}

	// Dynamic threshold: a team may queue at most as many requests as the queue has free capacity. However
	// large a burst is, the next team still finds free capacity and no queued request has to be evicted.
	const free = state.options.maxQueuedPerTarget - queue.count;
	if (team.count >= Math.min(state.options.maxQueuedPerTeam, free)) {
		return refuse(request.requestId, 'teamQueueFull', waitMs);
	}

	const slackMs = slackMsOf(rate, request, nowMs);
	return waitMs > slackMs ? refuse(request.requestId, 'deadline', waitMs - slackMs) : null;
};

export type TakeResult = {
	readonly request: AdmissionRequest | null;
	/** Requests that were skipped because they can no longer meet their deadline. */
	readonly refused: readonly AdmissionRefusal[];
};

/** Dequeues the next request in fair order; called when an endpoint has spare slots. */
export const dequeueRequest = (state: AdmissionState, targetKey: string, nowMs: number): TakeResult => {
	const refused: AdmissionRefusal[] = [];
	const target = state.targets.get(targetKey);
	for (;;) {
		const item = target === undefined ? null : popRequest(target.queue);
		if (item === null) {
			return {request: null, refused};
		}

		const {request} = item;
		if (slackMsOf(target!.rate, request, nowMs) >= 0 || nowMs === item.enqueuedAtMs) {
			item.dispatchedAtMs = nowMs;
			target!.running.add(item);
			return {request, refused};
		}

		state.requests.delete(request.requestId);
		refundBucket(state, request);
		refused.push(refuse(request.requestId, 'deadline', expectedWaitMs(target!.rate, target!.queue.cost, 1)));
	}
};

const refundBucket = (state: AdmissionState, {teamId, cost}: AdmissionRequest): void => {
	const bucket = state.teams.get(teamId)?.bucket ?? null;
	if (bucket !== null) {
		returnTokens(bucket, cost);
	}
};

/** Returns a dequeued request to its former queue position, because the endpoint turned out to be full. */
export const returnToQueue = (state: AdmissionState, requestId: string): void => {
	const item = state.requests.get(requestId);
	if (item?.state !== 'taken') {
		return;
	}

	const {queue, running} = state.targets.get(item.request.target)!;
	running.delete(item);
	returnRequest(queue, teamQueueOf(queue, item.request.teamId, weightOf(state, item.request.teamId)), item);
};

/** Removes a queued request whose caller has disconnected. A running request is ended by `finishRequest`. */
export const cancelRequest = (state: AdmissionState, requestId: string): void => {
	const item = state.requests.get(requestId);
	if (item?.state !== 'waiting') {
		return;
	}

	dropRequest(state.targets.get(item.request.target)!.queue, item);
	refundBucket(state, item.request);
	state.requests.delete(requestId);
};

export type FinishOptions = {
	/** The endpoint executed the request, so its duration counts towards the service rate. */
	readonly hasRun: boolean;
};

export const finishRequest = (state: AdmissionState, requestId: string, {hasRun}: FinishOptions, nowMs: number): void => {
	const item = state.requests.get(requestId);
	if (item?.state !== 'taken') {
		return;
	}

	state.requests.delete(requestId);
	const target = state.targets.get(item.request.target)!;
	target.running.delete(item);
	if (hasRun) {
		recordServed(target.rate, item, nowMs);
	}

	advanceTarget(target, nowMs);
};

const advanceTarget = ({queue, rate, running}: Target, nowMs: number): void => {
	advanceRate(rate, {isBacklogged: queue.count > 0, running, nowMs});
};

/**
 * Re-evaluates the queues; called several times per second. When capacity is
 * lost (an availability zone fails, for example), requests that can no longer
 * meet their deadline are refused now instead of at the deadline.
 */
export const tickAdmission = (state: AdmissionState, nowMs: number): AdmissionRefusal[] => {
	const refused: AdmissionRefusal[] = [];
	for (const target of state.targets.values()) {
		advanceTarget(target, nowMs);
		for (const team of target.queue.teams.values()) {
			if (team.count > 0) {
				refuseLateRequests(state, target, {team, refused, nowMs});
			}
		}
	}

	return refused;
};

type SheddingContext = {readonly team: TeamQueue; readonly refused: AdmissionRefusal[]; readonly nowMs: number};

const refuseLateRequests = (state: AdmissionState, target: Target, {team, refused, nowMs}: SheddingContext): void => {
	let costAhead = 0;
	for (const item of waitingInOrder(team)) {
		const {request} = item;
		const waitMs = expectedTeamWaitMs(target, team, costAhead);
		const slackMs = slackMsOf(target.rate, request, nowMs);
		if (waitMs > slackMs) {
			cancelRequest(state, request.requestId);
			refused.push(refuse(request.requestId, 'deadline', waitMs - slackMs));
		} else {
			costAhead += request.cost;
		}
	}
};

/** Number of requests queued for a target. */
export const waitingCount = (state: AdmissionState, targetKey: string): number => state.targets.get(targetKey)?.queue.count ?? 0;
