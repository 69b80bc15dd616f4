/** Requests per second, as an exponentially decaying average. */
export type ArrivalRate = {perSecond: number; updatedAtMs: number};

/** Long enough to average a few dozen requests at an entry, short enough to follow a burst. */
const timeConstantMs = 2000;

export const createArrivalRate = (): ArrivalRate => ({perSecond: 0, updatedAtMs: Number.NEGATIVE_INFINITY});

export const recordArrival = (rate: ArrivalRate, nowMs: number): void => {
	recordArrivals(rate, 1, nowMs);
};

/** Records `count` arrivals, or an amount such as the work that arrived. */
export const recordArrivals = (rate: ArrivalRate, count: number, nowMs: number): void => {
	rate.perSecond = arrivalsPerSecond(rate, nowMs) + (count * 1000 / timeConstantMs);
	rate.updatedAtMs = nowMs;
};

export const arrivalsPerSecond = ({perSecond, updatedAtMs}: ArrivalRate, nowMs: number): number => perSecond * Math.exp(-(nowMs - updatedAtMs) / timeConstantMs);
