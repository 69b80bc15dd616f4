import {maxRequestsPerSecond, type EngineEvent, type Scenario} from './scenario.js';

/** Shares of requests that no policy can exceed, even if it knew all arrivals in advance and engine time could be divided arbitrarily. */
export type UpperBound = {readonly inTime: number; readonly served: number};

const stepMs = 50;
const msPerSecond = 1000;
const reloadDurationMs = 1300;

/** Share of the engines that serve at a given time. */
const servingShare = (event: EngineEvent, atMs: number): number => {
	const sinceMs = atMs - (event.atS * msPerSecond);
	if (sinceMs < 0) {
		return 1;
	}

	switch (event.type) {
		case 'reload': {
			return sinceMs < reloadDurationMs / event.concurrentShare ? 1 - event.concurrentShare : 1;
		}

		case 'restart': {
			const span = Math.max(1, event.lastReadyAfterMs - event.firstReadyAfterMs);
			return Math.min(1, Math.max(0, (sinceMs - event.firstReadyAfterMs) / span));
		}

		case 'loss': {
			return 1 - event.share;
		}

		case 'join': {
			return sinceMs < event.readyAfterMs ? 1 - event.share : 1;
		}
	}
};

type Batch = {readonly atMs: number; count: number};

/** Serves batches within `withinMs` of their arrival, the oldest first; returns the share that is served. */
const servedShareWithin = (scenario: Scenario, requestsPerSecond: number, withinMs: number): number => {
	const waiting: Batch[] = [];
	let arrived = 0;
	let served = 0;
	for (let atMs = 0; atMs < (scenario.durationS * msPerSecond) + withinMs; atMs += stepMs) {
		if (atMs < scenario.durationS * msPerSecond) {
			const {factor} = scenario.load.findLast(({fromS}) => fromS * msPerSecond <= atMs)!;
			const count = requestsPerSecond * factor * stepMs / msPerSecond;
			arrived += count;
			waiting.push({atMs, count});
		}

		while (waiting.length > 0 && atMs - waiting[0]!.atMs > withinMs) {
			waiting.shift();
		}

		let capacity = requestsPerSecond * stepMs / msPerSecond * scenario.events.reduce((share, event) => share * servingShare(event, atMs), 1);
		while (capacity > 0 && waiting.length > 0) {
			const batchServed = Math.min(capacity, waiting[0]!.count);
			waiting[0]!.count -= batchServed;
			capacity -= batchServed;
			served += batchServed;
			if (waiting[0]!.count <= 0) {
				waiting.shift();
			}
		}
	}

	return served / arrived;
};

export const upperBound = (scenario: Scenario): UpperBound => {
	const mean = (field: 'promptTokens' | 'answerTokens' | 'objectiveMs' | 'deadlineMs'): number => scenario.callerClasses
		.reduce((sum, callerClass) => sum + (callerClass.share * callerClass[field]), 0);
	const requestsPerSecond = maxRequestsPerSecond(scenario, {promptTokens: mean('promptTokens'), answerTokens: mean('answerTokens')});
	const answerMs = scenario.engineCount * scenario.profile.slots * msPerSecond / requestsPerSecond;
	return {
		inTime: servedShareWithin(scenario, requestsPerSecond, mean('objectiveMs')), served: servedShareWithin(scenario, requestsPerSecond, mean('deadlineMs') - answerMs),
	};
};
