import type {AdmissionRequest} from './types.js';

/**
 * How fast a target serves, learnt from what ended: cost a second while
 * requests waited, and milliseconds per cost of one request.
 */
export type ServiceRate = {
	/** `null` until a window has passed with requests waiting. */
	costPerSecond: number | null;
	msPerCost: number | null;
	windowStartMs: number;
	windowCost: number;
	/** Requests waited during all of the window, so it shows what the target can do. */
	wasBacklogged: boolean;
};

const windowMs = 500;
const weightOfNewRate = 0.5;
const weightOfNewSpeed = 0.05;

export const createServiceRate = (nowMs: number): ServiceRate => ({
	costPerSecond: null, msPerCost: null, windowStartMs: nowMs, windowCost: 0, wasBacklogged: false,
});

const blend = (known: number | null, seen: number, weight: number): number => known === null ? seen : known + (weight * (seen - known));

/** Closes the window when its time is up. `isBacklogged`: requests wait now. */
export const advanceRate = (rate: ServiceRate, isBacklogged: boolean, nowMs: number): void => {
	const elapsedMs = nowMs - rate.windowStartMs;
	if (elapsedMs >= windowMs) {
		const seen = rate.windowCost / elapsedMs * 1000;
		// A window without waiting requests shows the demand, not the capacity: it can only raise the estimate.
		if (rate.wasBacklogged || (rate.costPerSecond !== null && seen > rate.costPerSecond)) {
			rate.costPerSecond = blend(rate.costPerSecond, seen, weightOfNewRate);
		}

		rate.windowStartMs = nowMs;
		rate.windowCost = 0;
		rate.wasBacklogged = isBacklogged;
	}

	rate.wasBacklogged &&= isBacklogged;
};

export const noteServed = (rate: ServiceRate, cost: number, ranMs: number): void => {
	rate.windowCost += cost;
	rate.msPerCost = blend(rate.msPerCost, ranMs / cost, weightOfNewSpeed);
};

/** Time left for waiting before a request must start. */
export const slackMsOf = (rate: ServiceRate, {deadlineAtMs, deadlineFor = 'end', cost}: AdmissionRequest, nowMs: number): number => {
	const serviceMs = deadlineFor === 'end' ? (rate.msPerCost ?? 0) * cost : 0;
	return deadlineAtMs - nowMs - serviceMs;
};

/** Time to serve `cost` at a share of the target's rate; 0 while the rate is not known. */
export const expectedWaitMs = (rate: ServiceRate, cost: number, share: number): number => rate.costPerSecond === null
	? 0
	: cost / Math.max(rate.costPerSecond * share, Number.EPSILON) * 1000;
