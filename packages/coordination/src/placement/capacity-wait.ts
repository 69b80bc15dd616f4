import {arrivalsPerSecond} from './arrival-rate.js';
import type {RoomView} from './priority-room.js';
import {priorityKey, type PriorityDemand} from './priority-demand.js';

/** The place of a request among those that wait; a lower rank goes first, and within a rank the one with less time left. */
export type WaitPlace = {readonly rank: number; readonly deadlineAtMs: number};

type Ranked = {readonly priority: number; readonly isLastTry: boolean; readonly deadlineAtMs: number};

/** For requests to services with one priority: they are checked in the order of their arrival. */
export const unrankedPlace: WaitPlace = {rank: Number.NEGATIVE_INFINITY, deadlineAtMs: 0};

/** A caller retry is late already: it goes behind first attempts of its own priority and before those of the next one. */
export const waitPlaceOf = (room: RoomView | null, {priority, isLastTry, deadlineAtMs}: Ranked): WaitPlace => room === null
	? unrankedPlace
	: {rank: (priority * 2) + (isLastTry ? 1 : 0), deadlineAtMs};

export const compareWaitPlaces = (a: WaitPlace, b: WaitPlace): number => a.rank === b.rank ? a.deadlineAtMs - b.deadlineAtMs : a.rank - b.rank;

/** Share of its objective after which a first attempt is refused: the caller needs the rest for its retry. */
const firstAttemptShare = 1 / 8;

export type CapacityWaitOptions = {
	readonly demand: PriorityDemand;
	readonly priorities: readonly number[];
	readonly priority: number;
	readonly isLastTry: boolean;
	readonly objectiveMs: number;
	/** How long the request has waited at this entry. */
	readonly waitedMs: number;
	/** The time within which it can still be started and answered completely. */
	readonly timeToStartMs: number;
	/** Requests that wait here for capacity with the same or a lower rank, without this one. */
	readonly aheadCount: number;
	readonly nowMs: number;
};

/** Requests per second of this entry that get capacity that a request of the priority may take instead: those of its own and less urgent priorities. */
export const capacityPerSecond = ({own}: PriorityDemand, priorities: readonly number[], priority: number, nowMs: number): number => {
	const rates = priorities.filter(other => other >= priority).map(other => own.get(priorityKey(other))?.served);
	return rates.reduce((sum, rate) => sum + (rate === undefined ? 0 : arrivalsPerSecond(rate, nowMs)), 0);
};

/**
 * Whether a request that finds no capacity waits for it. A first attempt is refused
 * soon, so that its caller can retry. A caller retry has no further retry and waits as
 * long as it can be answered completely, if this entry is expected to serve those
 * ahead and itself by then.
 */
export const mayWaitInOrder = (options: CapacityWaitOptions): boolean => {
	const {
		demand, priorities, priority, isLastTry, objectiveMs, waitedMs, timeToStartMs, aheadCount, nowMs,
	} = options;
	if (timeToStartMs <= 0) {
		return false;
	}

	return isLastTry
		? aheadCount + 1 <= capacityPerSecond(demand, priorities, priority, nowMs) * timeToStartMs / 1000
		: waitedMs < objectiveMs * firstAttemptShare;
};
