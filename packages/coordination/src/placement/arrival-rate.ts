/** Requests per second, as an exponentially decaying average. */
export type ArrivalRate = {perSecond: number; updatedAtMs: number};

/** Long enough to average a few dozen requests at an entry, short enough to follow a burst. */
const timeConstantMs = 2000;

export const createArrivalRate = (): ArrivalRate => ({perSecond: 0, updatedAtMs: Number.NEGATIVE_INFINITY});

/** `count` may be a fraction, for an arrival of which only a part counts. */
export const recordArrival = (rate: ArrivalRate, nowMs: number, count = 1): void => {
	rate.perSecond = arrivalsPerSecond(rate, nowMs) + (count * 1000 / timeConstantMs);
	rate.updatedAtMs = nowMs;
};

export const arrivalsPerSecond = ({perSecond, updatedAtMs}: ArrivalRate, nowMs: number): number => perSecond * Math.exp(-(nowMs - updatedAtMs) / timeConstantMs);
