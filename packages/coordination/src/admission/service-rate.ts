import type {AdmissionRequest} from './types.js';

/**
 * How fast a target serves: cost a second while requests waited, and the time
 * that one request takes for its cost.
 */
export type ServiceRate = {
	/** `null` until a window has passed with requests waiting. */
	costPerSecond: number | null;
	/** Moving averages over what ended; `null` before the first. */
	meanMs: number | null;
	meanCost: number | null;
	windowStartMs: number;
	windowCost: number;
	/** Requests waited during all of the window, so it shows what the target can do. */
	wasBacklogged: boolean;
};

/** A request that runs at the target. */
export type RunningRequest = {readonly request: Pick<AdmissionRequest, 'cost'>; readonly takenAtMs: number};

const windowMs = 500;
const weightOfNewRate = 0.5;
const weightOfNewSpeed = 0.05;

export const createServiceRate = (nowMs: number): ServiceRate => ({
	costPerSecond: null, meanMs: null, meanCost: null, windowStartMs: nowMs, windowCost: 0, wasBacklogged: false,
});

const blend = (known: number | null, seen: number, weight: number): number => known === null ? seen : known + (weight * (seen - known));

/** Requests above this many mean costs are taken for that large: what has ended says little of them. */
const extrapolationLimit = 4;

/**
 * How long a request of that cost should run, or `null` before anything has
 * ended. A ratio of means, and not carried far beyond what was seen: a short
 * request's fixed time would pass for the price of each token, and long
 * requests would be refused for it.
 */
const expectedRunMs = ({meanMs, meanCost}: ServiceRate, cost: number): number | null => meanMs === null || meanCost === null
	? null
	: meanMs * Math.min(cost / meanCost, extrapolationLimit);

export type Advance = {readonly isBacklogged: boolean; readonly running: Iterable<RunningRequest>; readonly nowMs: number};

/** Closes the window when its time is up. `isBacklogged`: requests wait now. */
export const advanceRate = (rate: ServiceRate, {isBacklogged, running, nowMs}: Advance): void => {
	const elapsedMs = nowMs - rate.windowStartMs;
	if (elapsedMs >= windowMs) {
		learnFromWindow(rate, running, nowMs);
		rate.windowStartMs = nowMs;
		rate.windowCost = 0;
		rate.wasBacklogged = isBacklogged;
	}

	rate.wasBacklogged &&= isBacklogged;
};

/**
 * Counts what is still running by its part in the window. Requests that last
 * longer than a window end in lumps, and many windows see no end at all: by
 * ends alone such a window says that the target serves nothing, and all that
 * waits would be refused.
 */
const learnFromWindow = (rate: ServiceRate, running: Iterable<RunningRequest>, nowMs: number): void => {
	if (rate.meanMs === null) {
		return;
	}

	let cost = rate.windowCost;
	for (const {request, takenAtMs} of running) {
		// One that takes longer than expected is as slow as it has shown so far.
		const lastsMs = Math.max(nowMs - takenAtMs, expectedRunMs(rate, request.cost)!);
		cost += costInWindow(rate, {cost: request.cost, startedAtMs: takenAtMs, lastsMs}, nowMs);
	}

	const seen = cost / (nowMs - rate.windowStartMs) * 1000;
	// A window without waiting requests shows the demand, not the capacity: it can only raise the estimate.
	if (rate.wasBacklogged || (rate.costPerSecond !== null && seen > rate.costPerSecond)) {
		rate.costPerSecond = blend(rate.costPerSecond, seen, weightOfNewRate);
	}
};

type Run = {readonly cost: number; readonly startedAtMs: number; readonly lastsMs: number};

/** The part of a run's cost that falls into the window. */
const costInWindow = ({windowStartMs}: ServiceRate, {cost, startedAtMs, lastsMs}: Run, nowMs: number): number => lastsMs <= 0
	? cost
	: cost * (nowMs - Math.max(windowStartMs, startedAtMs)) / lastsMs;

export const noteServed = (rate: ServiceRate, {request: {cost}, takenAtMs}: RunningRequest, nowMs: number): void => {
	const lastsMs = nowMs - takenAtMs;
	rate.windowCost += costInWindow(rate, {cost, startedAtMs: takenAtMs, lastsMs}, nowMs);
	rate.meanMs = blend(rate.meanMs, lastsMs, weightOfNewSpeed);
	rate.meanCost = blend(rate.meanCost, cost, weightOfNewSpeed);
};

/** Time left for waiting before a request must start. */
export const slackMsOf = (rate: ServiceRate, {deadlineAtMs, deadlineFor = 'end', cost}: AdmissionRequest, nowMs: number): number => {
	const serviceMs = deadlineFor === 'end' ? expectedRunMs(rate, cost) ?? 0 : 0;
	return deadlineAtMs - nowMs - serviceMs;
};

/** Time to serve `cost` at a share of the target's rate; 0 while the rate is not known. */
export const expectedWaitMs = (rate: ServiceRate, cost: number, share: number): number => rate.costPerSecond === null
	? 0
	: cost / Math.max(rate.costPerSecond * share, Number.EPSILON) * 1000;
