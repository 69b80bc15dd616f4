import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@bitternpaddle/transport';
import type {Test} from 'tap';
import {
	createCrashingFleet, type CrashingFleet, type CrashingFleetOptions, type EngineBehavior,
} from './crashing-fleet.js';

/** The part that crashes engines. */
export const badPart = 'bad0';
export const badPartIn = (parts: unknown): boolean => String(parts).split(',').slice(0, -1).includes(badPart);

export type PartTrafficOptions = Omit<CrashingFleetOptions, 'behaviorOf' | 'logger'> & {
	/** Parts of the bad request with this number, without its last one. */
	badParts(number: number): readonly string[];
	/** @default a first part that all share, and one of five others */
	soundParts?(number: number): readonly string[];
	readonly onBad: EngineBehavior;
	/** @default a stream of 90 ms */
	readonly onSound?: EngineBehavior;
	readonly soundPath?: string;
	/** Called after the fifth crash, or the last one if there are fewer. */
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
	/** Log lines on verdicts and refusals for good. */
	readonly lines: ReadonlyArray<Record<string, unknown>>;
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
/** A series without a crash for this long has ended. */
const quietMs = 1500;

const soundPartsOf = (number: number): readonly string[] => ['first', `theme${number % 5}`];

const shareOf = (outcomes: readonly Outcome[]): number => outcomes.filter(({status}) => status === 200).length / outcomes.length;

/** Sends sound requests, then bad ones beside them, until some time after the fifth crash. All requests differ; all entries receive both kinds. */
export const runPartTraffic = async (t: Test, options: PartTrafficOptions): Promise<PartTraffic> => {
	const {badParts, soundParts = soundPartsOf, onBad, onSound = {type: 'stream', pauseMs: 30}, soundPath = '/draft/1', afterFifth, ...fleetOptions} = options;
	const entryCount = fleetOptions.entryCount ?? 1;
	const lines: Array<Record<string, unknown>> = [];
	const logger: Logger = {
		event(event, fields = {}) {
			if (event === 'BP4029' || event === 'BP4065' || event === 'BP4066' || (event === 'BP4021' && fields.status === 400)) {
				lines.push({event, ...fields});
			}
		},
	};
	const fleet = await createCrashingFleet(t, {
		engineCount: 8, downMs: 1000, logger, ...fleetOptions, behaviorOf: (_, headers) => badPartIn(headers['x-parts']) ? onBad : onSound,
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
	const hasEnded = (): boolean => fleet.ends.length >= 5 || (fleet.ends.length > 0 && performance.now() - fleet.ends.at(-1)!.atMs > quietMs);
	while (!hasEnded() && performance.now() - beganAtMs < maxSeriesMs) {
		await delay(5);
	}

	await afterFifth?.(fleet);
	const fifthAtMs = fleet.ends.slice(0, 5).at(-1)!.atMs;
	await delay(fifthAtMs + (2 * stableMs) + observedMs - performance.now());
	for (const timer of timers) {
		clearInterval(timer);
	}

	await Promise.all(calls);
	const isAfter = ({sentAtMs}: Outcome): boolean => sentAtMs > fifthAtMs + (2 * stableMs);
	return {
		fleet, lines, lateSends: fleet.arrivals.filter(({requestId, atMs}) => requestId.startsWith('bad-') && atMs > fifthAtMs + stableMs).length,
		servedBefore: shareOf(sound.filter(({sentAtMs}) => sentAtMs < beganAtMs)), servedAfter: shareOf(sound.filter(each => isAfter(each))),
		soundStatuses: sound.map(({status}) => status), lateBadStatuses: bad.filter(each => isAfter(each)).map(({status}) => status),
	};
};

/** Sends that are allowed later than the stabilization time after the fifth crash. */
const allowedSends = 3;

export const assertBounds = (t: Test, {fleet, lateSends, servedBefore, servedAfter, soundStatuses, lines}: PartTraffic): void => {
	t.comment(`${fleet.ends.length} engines crashed, the last ${Math.round(fleet.ends.at(-1)!.atMs - fleet.ends.slice(0, 5).at(-1)!.atMs)} ms after the fifth`);
	t.ok(lateSends <= allowedSends, `${lateSends} sends later than 3 s after the fifth crash, ${allowedSends} allowed`);
	t.ok(servedAfter >= servedBefore / 2, `${servedAfter} of the sound requests are served, ${servedBefore} before`);
	t.notOk(soundStatuses.includes(400), 'no sound request is refused for good');
	t.same(lines.filter(({event, promptParts}) => event === 'BP4065' && !(promptParts as string[]).some(part => part.endsWith(`/${badPart}`))), [], 'no other part gets a verdict');
};
