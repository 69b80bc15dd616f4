import {
	arrivalsPerSecond, createArrivalRate, recordArrival, type ArrivalRate,
} from './arrival-rate.js';

type ObjectiveClass = {readonly arrivals: ArrivalRate; readonly refusals: ArrivalRate};

/** Rates of arrivals and of refusals for load, by latency objective, for one service. */
export type ObjectiveMix = {readonly classes: Map<number, ObjectiveClass>};

/** Objectives with less than this share of all arrivals do not affect the admission of other requests: the requirements of a few must not constrain the rest. */
const minShare = 0.05;
/**
 * Share of refusals within an objective. Below it, engines carry the load apart from
 * short peaks: with a dozen requests in two seconds, a single refusal already amounts
 * to this much.
 */
const overloadShare = 0.05;

export const createObjectiveMix = (): ObjectiveMix => ({classes: new Map()});

const classOf = ({classes}: ObjectiveMix, objectiveMs: number): ObjectiveClass => {
	const objectiveClass = classes.get(objectiveMs) ?? {arrivals: createArrivalRate(), refusals: createArrivalRate()};
	classes.set(objectiveMs, objectiveClass);
	return objectiveClass;
};

export const recordObjective = (mix: ObjectiveMix, objectiveMs: number, nowMs: number): void => {
	recordArrival(classOf(mix, objectiveMs).arrivals, nowMs);
};

export const recordRefusal = (mix: ObjectiveMix, objectiveMs: number, nowMs: number): void => {
	recordArrival(classOf(mix, objectiveMs).refusals, nowMs);
};

type ObjectiveLoad = {readonly objectiveMs: number; readonly perSecond: number; readonly refusedShare: number};

const significantClasses = ({classes}: ObjectiveMix, nowMs: number): ObjectiveLoad[] => {
	const all = [...classes].map(([objectiveMs, {arrivals, refusals}]) => {
		const perSecond = arrivalsPerSecond(arrivals, nowMs);
		return {objectiveMs, perSecond, refusedShare: perSecond === 0 ? 0 : arrivalsPerSecond(refusals, nowMs) / perSecond};
	});
	const total = all.reduce((sum, {perSecond}) => sum + perSecond, 0);
	return all.filter(({perSecond}) => perSecond > total * minShare);
};

/** The strictest objective with a significant share of arrivals; infinite if there are no arrivals yet. */
export const strictestObjectiveMs = (mix: ObjectiveMix, nowMs: number): number => Math.min(...significantClasses(mix, nowMs).map(({objectiveMs}) => objectiveMs));

/**
 * The objective by which a request is admitted: its own, unless requests with stricter
 * objectives are refused for load, and then theirs. With its own alone, the most
 * tolerant requests would take the engines under sustained overload, and stricter ones
 * would be refused; with the strictest alone, requests would be refused in idle
 * periods although they meet their own objective.
 */
export const effectiveObjectiveOf = (mix: ObjectiveMix, objectiveMs: number, nowMs: number): number => {
	const classes = significantClasses(mix, nowMs);
	const refusedClasses = classes.filter(other => other.objectiveMs < objectiveMs && other.refusedShare > overloadShare);
	return Math.min(objectiveMs, ...refusedClasses.map(other => other.objectiveMs));
};

/** Whether first attempts of any objective are refused for load more often than short peaks explain. */
export const isOverloaded = (mix: ObjectiveMix, nowMs: number): boolean => significantClasses(mix, nowMs).some(({refusedShare}) => refusedShare > overloadShare);
