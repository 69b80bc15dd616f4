import type {AdmissionRequest} from './types.js';

/**
 * How fast a target serves: its throughput in cost per second while requests were
 * waiting, and the duration of a request relative to its cost.
 */
export type ServiceRate = {
	/** `null` until a full window has passed with requests waiting. */
	costPerSecond: number | null;
	/** Moving averages over finished requests; `null` before the first one. */
	meanMs: number | null;
	meanCost: number | null;
	windowStartMs: number;
	windowCost: number;
	/** Requests were waiting during the entire window, so it measures the target's capacity. */
	wasBacklogged: boolean;
};

/** A request that is running at the target. */
export type RunningRequest = {readonly request: Pick<AdmissionRequest, 'cost'>; readonly dispatchedAtMs: number};

const windowMs = 500;
const rateSampleWeight = 0.5;
const runSampleWeight = 0.05;

export const createServiceRate = (nowMs: number): ServiceRate => ({
	costPerSecond: null, meanMs: null, meanCost: null, windowStartMs: nowMs, windowCost: 0, wasBacklogged: false,
});

const movingAverage = (average: number | null, sample: number, weight: number): number => average === null ? sample : average + (weight * (sample - average));

/** The expected duration grows with the cost up to this multiple of the mean cost; finished requests do not predict larger ones. */
const maxCostRatio = 4;

/**
 * Expected duration of a request with this cost, or `null` before any request has
 * finished. It is based on a ratio of means and not extrapolated far beyond the
 * observed costs: otherwise the fixed overhead of short requests would count as
 * time per token, and long requests would be refused because of it.
 */
const expectedRunMs = ({meanMs, meanCost}: ServiceRate, cost: number): number | null => meanMs === null || meanCost === null
	? null
	: meanMs * Math.min(cost / meanCost, maxCostRatio);

export type Advance = {readonly isBacklogged: boolean; readonly running: Iterable<RunningRequest>; readonly nowMs: number};

/** Closes the window when its time is up. `isBacklogged`: requests are waiting now. */
export const advanceRate = (rate: ServiceRate, {isBacklogged, running, nowMs}: Advance): void => {
	const elapsedMs = nowMs - rate.windowStartMs;
	if (elapsedMs >= windowMs) {
		updateFromWindow(rate, running, nowMs);
		rate.windowStartMs = nowMs;
		rate.windowCost = 0;
		rate.wasBacklogged = isBacklogged;
	}

	rate.wasBacklogged &&= isBacklogged;
};

/**
 * Counts running requests by their fraction within the window. Requests that take
 * longer than a window finish in clusters, so many windows contain no finished
 * request at all. Counting only finished requests would yield a rate of zero in
 * such a window, and every waiting request would be refused.
 */
const updateFromWindow = (rate: ServiceRate, running: Iterable<RunningRequest>, nowMs: number): void => {
	if (rate.meanMs === null) {
		return;
	}

	let cost = rate.windowCost;
	for (const {request, dispatchedAtMs} of running) {
		// A request that exceeds its expected duration is assumed to be finishing right now.
		const durationMs = Math.max(nowMs - dispatchedAtMs, expectedRunMs(rate, request.cost)!);
		cost += costInWindow(rate, {cost: request.cost, startedAtMs: dispatchedAtMs, durationMs}, nowMs);
	}

	const observedRate = cost / (nowMs - rate.windowStartMs) * 1000;
	// A window without waiting requests measures demand, not capacity, so it can only raise the estimate.
	if (rate.wasBacklogged || (rate.costPerSecond !== null && observedRate > rate.costPerSecond)) {
		rate.costPerSecond = movingAverage(rate.costPerSecond, observedRate, rateSampleWeight);
	}
};

type Run = {readonly cost: number; readonly startedAtMs: number; readonly durationMs: number};

/** The fraction of a run's cost that falls into the window. */
const costInWindow = ({windowStartMs}: ServiceRate, {cost, startedAtMs, durationMs}: Run, nowMs: number): number => durationMs <= 0
	? cost
	: cost * (nowMs - Math.max(windowStartMs, startedAtMs)) / durationMs;

export const recordServed = (rate: ServiceRate, {request: {cost}, dispatchedAtMs}: RunningRequest, nowMs: number): void => {
	const durationMs = nowMs - dispatchedAtMs;
	rate.windowCost += costInWindow(rate, {cost, startedAtMs: dispatchedAtMs, durationMs}, nowMs);
	rate.meanMs = movingAverage(rate.meanMs, durationMs, runSampleWeight);
	rate.meanCost = movingAverage(rate.meanCost, cost, runSampleWeight);
};

/** How long a request can still wait before it must start. */
export const slackMsOf = (rate: ServiceRate, {deadlineAtMs, deadlineFor = 'end', cost}: AdmissionRequest, nowMs: number): number => {
	const serviceMs = deadlineFor === 'end' ? expectedRunMs(rate, cost) ?? 0 : 0;
	return deadlineAtMs - nowMs - serviceMs;
};

/** Time to serve `cost` at a fraction of the target's rate; 0 while the rate is unknown. */
export const expectedWaitMs = (rate: ServiceRate, cost: number, share: number): number => rate.costPerSecond === null
	? 0
	: cost / Math.max(rate.costPerSecond * share, Number.EPSILON) * 1000;
