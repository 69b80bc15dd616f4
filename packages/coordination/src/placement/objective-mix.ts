import {
	arrivalsPerSecond, createArrivalRate, noteArrival, type ArrivalRate,
} from './arrival-rate.js';

/** How often requests of each objective come for one service. */
export type ObjectiveMix = {readonly rates: Map<number, ArrivalRate>};

/** A kind that comes less often than this share of all decides nothing for the others: what a few must have does not bind the rest. */
const leastShare = 0.05;

export const createObjectiveMix = (): ObjectiveMix => ({rates: new Map()});

export const noteObjective = ({rates}: ObjectiveMix, objectiveMs: number, nowMs: number): void => {
	const rate = rates.get(objectiveMs) ?? createArrivalRate();
	rates.set(objectiveMs, rate);
	noteArrival(rate, nowMs);
};

/** The strictest objective of those that come often; infinite while none has come. */
export const strictestObjectiveMs = ({rates}: ObjectiveMix, nowMs: number): number => {
	const perSecond = [...rates].map(([objectiveMs, rate]) => ({objectiveMs, rate: arrivalsPerSecond(rate, nowMs)}));
	const all = perSecond.reduce((sum, {rate}) => sum + rate, 0);
	return Math.min(...perSecond.filter(({rate}) => rate > all * leastShare).map(({objectiveMs}) => objectiveMs));
};
