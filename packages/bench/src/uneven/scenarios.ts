import {createRandom, randomFraction} from '@bitternpaddle/coordination';
import type {EndpointSettings} from './plain-endpoint.js';

export const scenarioNames = ['first', 'second', 'slowStart', 'nearlyFull', 'refusing', 'even'] as const;
export type ScenarioName = (typeof scenarioNames)[number];

/** A kind of requests. */
export type RequestKind = {readonly objectiveMs: number; readonly deadlineMs: number};

export type Setup = {
	/** Zone of each entry. */
	readonly entryZoneIds: readonly string[];
	readonly endpoints: readonly EndpointSettings[];
	readonly kinds: readonly RequestKind[];
};

const zoneIds = ['z1', 'z2', 'z3'] as const;
/** One-way latencies within a zone and between zones; the second is between those of the two deployments. */
const nearMs = 0.2;
const otherMs = 1.4;

export const oneWayMs = (fromZoneId: string, toZoneId: string): number => fromZoneId === toZoneId ? nearMs : otherMs;

/** Shared hosts: 2.5 times as slow for 15 in 100 of the time, changing every 600 ms. */
const sharedSlowdown = 2.5;
const sharedShare = 0.15;
const changeMs = 600;
/** After its start, an endpoint is this much slower for this long. */
const startSlowdown = 4;
const startMs = 5000;
const restartTimesMs = [5000, 20_000];

type Shape = {readonly entryCount: number; readonly endpointCount: number; readonly usualMs: number; readonly kinds: readonly RequestKind[]};

const firstShape: Shape = {
	entryCount: 19, endpointCount: 4, usualMs: 57, kinds: [{objectiveMs: 303, deadlineMs: 3030}],
};
const secondShape: Shape = {
	entryCount: 12, endpointCount: 3, usualMs: 43, kinds: [{objectiveMs: 245, deadlineMs: 1211}, {objectiveMs: 194, deadlineMs: 1009}],
};

/** Slowdown of a shared host over time, drawn in advance so that all estimates meet the same. */
const drawShared = (seed: number, durationMs: number): ((nowMs: number) => number) => {
	const random = createRandom(seed);
	const figures = Array.from({length: Math.ceil(durationMs / changeMs)}, () => randomFraction(random) < sharedShare ? sharedSlowdown : 1);
	return nowMs => figures[Math.floor(nowMs / changeMs)] ?? 1;
};

/** One endpoint starts anew during the run and is slow for some seconds each time. */
const slowAfterStart = (index: number) => (nowMs: number): number => index === 0 && restartTimesMs.some(atMs => nowMs >= atMs && nowMs < atMs + startMs) ? startSlowdown : 1;

const always = (): number => 1;
const whenNearlyFull = (usedShare: number): number => usedShare > 0.6 ? 1.8 : 1;
/** More than the requests of all callers within a deadline. */
const unlimitedQueue = 10_000;

export const resolveSetup = (scenario: ScenarioName, seed: number, durationMs: number): Setup => {
	const {entryCount, endpointCount, usualMs, kinds} = scenario === 'first' ? firstShape : secondShape;
	const hostOf = (index: number): ((nowMs: number) => number) => {
		switch (scenario) {
			case 'slowStart': {
				return slowAfterStart(index);
			}

			case 'even': {
				return always;
			}

			case 'first':
			case 'second':
			case 'nearlyFull':
			case 'refusing': {
				return drawShared((seed * 100) + index, durationMs);
			}
		}
	};

	return {
		entryZoneIds: Array.from({length: entryCount}, (_, index) => zoneIds[index % zoneIds.length]!),
		endpoints: Array.from({length: endpointCount}, (_, index) => ({
			id: `p${index}`, zoneId: zoneIds[index % zoneIds.length]!, slots: 6, usualMs, queueLimit: scenario === 'refusing' ? 0 : unlimitedQueue,
			slowdownAt: hostOf(index), slowdownByLoad: scenario === 'nearlyFull' ? whenNearlyFull : always,
		})),
		kinds,
	};
};
