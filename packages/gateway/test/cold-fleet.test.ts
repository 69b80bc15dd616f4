import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet, type CallAnswer} from './support/crashing-fleet.js';

const coldPerSecond = 26;
/** 1.5 times the limit plus 5. */
const boundCount = 44;
/** Share of the limit that is sent while others are full; without an issuer, entries send half of it. */
const minUsedShare = 0.6;
/** The issuers grant permits some seconds after a start; a busy machine prolongs that. */
const maxRunMs = 25_000;

type Arrival = {readonly engine: number; readonly atMs: number};

/** The largest number of arrivals at an engine within any `windowMs`. */
const mostWithin = (arrivals: readonly Arrival[], engine: number, windowMs: number): number => {
	const timesMs = arrivals.filter(arrival => arrival.engine === engine).map(({atMs}) => atMs);
	return Math.max(0, ...timesMs.map(fromMs => timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length));
};

// Guards against a limit that each entry applies by itself, and against callers that are refused without a time at which to retry.
t.test('several entries together stay within the limit of cold endpoints, and refuse the rest with a retry time', async t => {
	const entryCount = 4;
	const fleet = await createCrashingFleet(t, {
		entryCount, engineCount: 2, coldPerSecond, behaviorOf: () => ({type: 'stream', pauseMs: 10}),
	});
	const answers: Array<Promise<CallAnswer>> = [];
	const startedAtMs = performance.now();
	const isUsed = (engine: number): boolean => mostWithin(fleet.arrivals, engine, 3000) >= 3 * minUsedShare * coldPerSecond;
	for (let index = 0; performance.now() - startedAtMs < maxRunMs && !(index % 50 === 0 && isUsed(0) && isUsed(1)); index++) {
		answers.push(fleet.call(`call-${index}`, `body ${index}`, {entry: index % entryCount, deadlineMs: 6000}));
		await delay(8);
	}

	const settled = await Promise.all(answers);
	for (const engine of [0, 1]) {
		const max = mostWithin(fleet.arrivals, engine, 1000);
		t.ok(max <= boundCount, `${max} requests in a second`);
		t.ok(isUsed(engine), `${mostWithin(fleet.arrivals, engine, 3000)} requests in three seconds`);
	}

	const refused = settled.filter(({status}) => status === 503);
	t.ok(refused.length > 0);
	t.equal(refused.length + settled.filter(({status}) => status === 200).length, settled.length);
	t.ok(refused.every(({headers, text}) => Number(headers['retry-after']) >= 0 && text.includes('cold')));
});
