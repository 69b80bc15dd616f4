import {carriedPerSecond, type EngineEvent, type Scenario} from './scenario.js';

/** What no policy can exceed, if it knew all arrivals beforehand and engines' time could be split at will. */
export type UpperBound = {readonly inTime: number; readonly served: number};

const stepMs = 50;
const msPerSecond = 1000;
const reloadTurnMs = 1300;

/** Of the engines, those that serve at a time. */
const shareUp = (event: EngineEvent, atMs: number): number => {
	const sinceMs = atMs - (event.atS * msPerSecond);
	if (sinceMs < 0) {
		return 1;
	}

	switch (event.type) {
		case 'reload': {
			return sinceMs < reloadTurnMs / event.atOnceShare ? 1 - event.atOnceShare : 1;
		}

		case 'restart': {
			const span = Math.max(1, event.lastAfterMs - event.firstAfterMs);
			return Math.min(1, Math.max(0, (sinceMs - event.firstAfterMs) / span));
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

/** Serves batches within `withinMs` of their coming, the oldest first; the share that is served. */
const serveWithin = (scenario: Scenario, carried: number, withinMs: number): number => {
	const waiting: Batch[] = [];
	let asked = 0;
	let served = 0;
	for (let atMs = 0; atMs < (scenario.lengthS * msPerSecond) + withinMs; atMs += stepMs) {
		if (atMs < scenario.lengthS * msPerSecond) {
			const {factor} = scenario.load.findLast(({fromS}) => fromS * msPerSecond <= atMs)!;
			const count = carried * factor * stepMs / msPerSecond;
			asked += count;
			waiting.push({atMs, count});
		}

		while (waiting.length > 0 && atMs - waiting[0]!.atMs > withinMs) {
			waiting.shift();
		}

		let room = carried * stepMs / msPerSecond * scenario.events.reduce((share, event) => share * shareUp(event, atMs), 1);
		while (room > 0 && waiting.length > 0) {
			const taken = Math.min(room, waiting[0]!.count);
			waiting[0]!.count -= taken;
			room -= taken;
			served += taken;
			if (waiting[0]!.count <= 0) {
				waiting.shift();
			}
		}
	}

	return served / asked;
};

export const upperBound = (scenario: Scenario): UpperBound => {
	const mean = (field: 'promptTokens' | 'answerTokens' | 'objectiveMs' | 'deadlineMs'): number => scenario.kinds.reduce((sum, kind) => sum + (kind.share * kind[field]), 0);
	const carried = carriedPerSecond(scenario, {promptTokens: mean('promptTokens'), answerTokens: mean('answerTokens')});
	const answerMs = scenario.engineCount * scenario.profile.slots * msPerSecond / carried;
	return {
		inTime: serveWithin(scenario, carried, mean('objectiveMs')), served: serveWithin(scenario, carried, mean('deadlineMs') - answerMs),
	};
};
