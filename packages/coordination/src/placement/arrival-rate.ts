/** How many requests come in a second, by a mean that forgets. */
export type ArrivalRate = {perSecond: number; notedAtMs: number};

/** Long enough for a few dozen requests at an entry, short enough to follow a burst. */
const memoryMs = 2000;

export const createArrivalRate = (): ArrivalRate => ({perSecond: 0, notedAtMs: Number.NEGATIVE_INFINITY});

export const noteArrival = (rate: ArrivalRate, nowMs: number): void => {
	rate.perSecond = arrivalsPerSecond(rate, nowMs) + (1000 / memoryMs);
	rate.notedAtMs = nowMs;
};

export const arrivalsPerSecond = ({perSecond, notedAtMs}: ArrivalRate, nowMs: number): number => perSecond * Math.exp(-(nowMs - notedAtMs) / memoryMs);
