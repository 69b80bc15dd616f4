import {
	arrivalsPerSecond, createArrivalRate, noteArrival, type ArrivalRate,
} from './arrival-rate.js';

type Kind = {readonly arrivals: ArrivalRate; readonly refusals: ArrivalRate};

/** How often requests of each objective come for one service, and are refused for load. */
export type ObjectiveMix = {readonly kinds: Map<number, Kind>};

/** A kind that comes less often than this share of all decides nothing for the others: what a few must have does not bind the rest. */
const leastShare = 0.05;
/** Of a kind's requests; below this engines carry the load but for moments, in two seconds of a dozen requests one refusal makes as much. */
const overloadShare = 0.05;

export const createObjectiveMix = (): ObjectiveMix => ({kinds: new Map()});

const kindOf = ({kinds}: ObjectiveMix, objectiveMs: number): Kind => {
	const kind = kinds.get(objectiveMs) ?? {arrivals: createArrivalRate(), refusals: createArrivalRate()};
	kinds.set(objectiveMs, kind);
	return kind;
};

export const noteObjective = (mix: ObjectiveMix, objectiveMs: number, nowMs: number): void => {
	noteArrival(kindOf(mix, objectiveMs).arrivals, nowMs);
};

export const noteRefused = (mix: ObjectiveMix, objectiveMs: number, nowMs: number): void => {
	noteArrival(kindOf(mix, objectiveMs).refusals, nowMs);
};

type Seen = {readonly objectiveMs: number; readonly perSecond: number; readonly refusedShare: number};

const seenKinds = ({kinds}: ObjectiveMix, nowMs: number): Seen[] => {
	const all = [...kinds].map(([objectiveMs, {arrivals, refusals}]) => {
		const perSecond = arrivalsPerSecond(arrivals, nowMs);
		return {objectiveMs, perSecond, refusedShare: perSecond === 0 ? 0 : arrivalsPerSecond(refusals, nowMs) / perSecond};
	});
	const total = all.reduce((sum, {perSecond}) => sum + perSecond, 0);
	return all.filter(({perSecond}) => perSecond > total * leastShare);
};

/** The strictest objective of those that come often; infinite while none has come. */
export const strictestObjectiveMs = (mix: ObjectiveMix, nowMs: number): number => Math.min(...seenKinds(mix, nowMs).map(({objectiveMs}) => objectiveMs));

/**
 * The objective that a request is admitted by. Its own, unless stricter kinds are
 * refused for load: then theirs. By its own alone, the kind that tolerates most takes
 * the engines under lasting overload, and stricter ones are refused; by the strictest
 * alone, the others are refused in calm seconds for what is in time for them.
 */
export const boundObjectiveMs = (mix: ObjectiveMix, objectiveMs: number, nowMs: number): number => {
	const kinds = seenKinds(mix, nowMs);
	const wronged = kinds.filter(kind => kind.objectiveMs < objectiveMs && kind.refusedShare > overloadShare);
	return Math.min(objectiveMs, ...wronged.map(kind => kind.objectiveMs));
};

/** Whether more first-comers of any kind are refused for load than moments of it make. */
export const isOverloaded = (mix: ObjectiveMix, nowMs: number): boolean => seenKinds(mix, nowMs).some(({refusedShare}) => refusedShare > overloadShare);
