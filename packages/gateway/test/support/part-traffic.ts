import {setTimeout as delay} from 'node:timers/promises';
import type {Test} from 'tap';
import {
	createCrashingFleet, type CrashingFleet, type CrashingFleetOptions, type EngineBehavior,
} from './crashing-fleet.js';

/** The part that crashes engines. */
export const badPart = 'bad0';
export const badPartIn = (parts: unknown): boolean => String(parts).split(',').slice(0, -1).includes(badPart);

export type PartTrafficOptions = Omit<CrashingFleetOptions, 'behaviorOf'> & {
	/** Parts of the bad request with this number, without its last one. */
	badParts(number: number): readonly string[];
	/** @default a first part that all share, and one of five others */
	soundParts?(number: number): readonly string[];
	readonly onBad: EngineBehavior;
	/** @default a stream of 90 ms */
	readonly onSound?: EngineBehavior;
	readonly soundPath?: string;
	/** Called once the fifth engine has crashed. */
	afterFifth?(fleet: CrashingFleet): Promise<void>;
};

type Outcome = {readonly sentAtMs: number; readonly status: number};

export type PartTraffic = {
	readonly fleet: CrashingFleet;
	/** Requests with the bad part that reached engines later than the stabilization time after the fifth crash. */
	readonly lateSends: number;
	/** Share of the sound requests that were answered before the first bad one. */
	readonly servedBefore: number;
	/** The same from twice the stabilization time after the fifth crash. */
	readonly servedAfter: number;
	readonly soundStatuses: readonly number[];
	/** Of bad requests that were sent later than twice the stabilization time after the fifth crash. */
	readonly lateBadStatuses: readonly number[];
};

/** Time after which all entries must have the verdict. */
export const stableMs = 3000;
const calmMs = 1500;
const observedMs = 3000;
const soundIntervalMs = 50;
const badIntervalMs = 150;
const maxSeriesMs = 15_000;

const soundPartsOf = (number: number): readonly string[] => ['first', `theme${number % 5}`];

const shareOf = (outcomes: readonly Outcome[]): number => outcomes.filter(({status}) => status === 200).length / outcomes.length;

/** Sends sound requests, then bad ones beside them, until some time after the fifth crash. All requests differ; all entries receive both kinds. */
export const runPartTraffic = async (t: Test, options: PartTrafficOptions): Promise<PartTraffic> => {
	const {badParts, soundParts = soundPartsOf, onBad, onSound = {type: 'stream', pauseMs: 30}, soundPath = '/draft/1', afterFifth, ...fleetOptions} = options;
	const entryCount = fleetOptions.entryCount ?? 1;
	const fleet = await createCrashingFleet(t, {
		engineCount: 8, downMs: 1000, ...fleetOptions, behaviorOf: (_, headers) => badPartIn(headers['x-parts']) ? onBad : onSound,
	});
	const sound: Outcome[] = [];
	const bad: Outcome[] = [];
	const calls = new Set<Promise<void>>();
	const send = (outcomes: Outcome[], name: string, number: number, parts: readonly string[]): void => {
		const sentAtMs = performance.now();
		const requestId = `${name}-${number}`;
		const call = (async () => {
			const {status} = await fleet.call(requestId, requestId, {
				entry: number % entryCount, path: soundPath, deadlineMs: 4000, headers: {'x-parts': [...parts, `own${name}${number}`].join(',')},
			});
			outcomes.push({sentAtMs, status});
		})();
		calls.add(call);
		void call.finally(() => {
			calls.delete(call);
		});
	};

	let soundCount = 0;
	let badCount = 0;
	const timers = [setInterval(() => {
		send(sound, 'sound', soundCount, soundParts(soundCount));
		soundCount++;
	}, soundIntervalMs)];
	t.teardown(() => {
		for (const timer of timers) {
			clearInterval(timer);
		}
	});
	await delay(calmMs);
	const beganAtMs = performance.now();
	timers.push(setInterval(() => {
		send(bad, 'bad', badCount, badParts(badCount));
		badCount++;
	}, badIntervalMs));
	while (fleet.ends.length < 5 && performance.now() - beganAtMs < maxSeriesMs) {
		await delay(5);
	}

	if (fleet.ends.length < 5) {
		throw new Error(`${fleet.ends.length} engines crashed`);
	}

	await afterFifth?.(fleet);
	const fifthAtMs = fleet.ends[4]!.atMs;
	await delay(fifthAtMs + (2 * stableMs) + observedMs - performance.now());
	for (const timer of timers) {
		clearInterval(timer);
	}

	await Promise.all(calls);
	const isAfter = ({sentAtMs}: Outcome): boolean => sentAtMs > fifthAtMs + (2 * stableMs);
	return {
		fleet, lateSends: fleet.arrivals.filter(({requestId, atMs}) => requestId.startsWith('bad-') && atMs > fifthAtMs + stableMs).length,
		servedBefore: shareOf(sound.filter(({sentAtMs}) => sentAtMs < beganAtMs)), servedAfter: shareOf(sound.filter(each => isAfter(each))),
		soundStatuses: sound.map(({status}) => status), lateBadStatuses: bad.filter(each => isAfter(each)).map(({status}) => status),
	};
};
