import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet, type CallAnswer, type CrashingFleet} from './support/crashing-fleet.js';

const pauseMs = 2000;
/** Requests in flight when the endpoint requests a pause arrive within this time. */
const inFlightMs = 500;
const maxDuringPause = 2;

const entryOf = (requestId: string): number => Number(requestId.split('-', 1)[0]);

/** Sends requests to the entries in turn at a constant rate; each request id begins with the index of the entry. */
const sendAtConstantRate = async (fleet: CrashingFleet, {perSecond, forMs, entryCount}: {perSecond: number; forMs: number; entryCount: number}): Promise<CallAnswer[]> => {
	const calls: Array<Promise<CallAnswer>> = [];
	const startedAtMs = performance.now();
	for (let index = 0; performance.now() - startedAtMs < forMs; index++) {
		const entry = index % entryCount;
		calls.push(fleet.call(`${entry}-${startedAtMs}-${index}`, `body ${index}`, {entry}));
		await delay(1000 / perSecond);
	}

	return Promise.all(calls);
};

/** The largest number of requests that an engine received from one entry during a pause requested from that entry. */
const peakDuringPause = ({arrivals}: CrashingFleet, engine: number, fromMs: number): number => {
	const refused = arrivals.filter(arrival => arrival.engine === engine && arrival.atMs >= fromMs)
		.map(({atMs, requestId}) => ({atMs, entry: entryOf(requestId)}));
	return Math.max(0, ...refused.map(({atMs, entry}) => refused.filter(other => other.entry === entry && other.atMs > atMs + inFlightMs && other.atMs < atMs + pauseMs).length));
};

t.test('an endpoint that refuses requests with a Retry-After gets none from that entry until the time is over', async t => {
	const entryCount = 2;
	const state = {isOverloaded: false};
	const isRefusing = (engine: number): boolean => state.isOverloaded && engine === 0;
	const fleet = await createCrashingFleet(t, {
		entryCount, engineCount: 3, behaviorOf: (_body, _headers, engine) => isRefusing(engine) ? {type: 'refuse', status: 503} : {type: 'stream', pauseMs: 10},
		answerHeaders: engine => isRefusing(engine) ? {'retry-after': String(pauseMs / 1000)} : {},
	});
	await sendAtConstantRate(fleet, {perSecond: 40, forMs: 500, entryCount});
	state.isOverloaded = true;
	const overloadedAtMs = performance.now();
	const answers = await sendAtConstantRate(fleet, {perSecond: 40, forMs: 5000, entryCount});
	const max = peakDuringPause(fleet, 0, overloadedAtMs);
	t.ok(max <= maxDuringPause, `${max} requests within a pause of ${pauseMs} ms, ${maxDuringPause} allowed`);
	t.same(answers.filter(({status}) => status !== 200), [], 'the other endpoints serve all');
	state.isOverloaded = false;
	const recoveredAtMs = performance.now();
	await sendAtConstantRate(fleet, {perSecond: 40, forMs: pauseMs + 1000, entryCount});
	t.ok(fleet.arrivals.some(({engine, atMs}) => engine === 0 && atMs > recoveredAtMs), 'the endpoint is used again');
});

t.test('while every endpoint is paused, callers are refused at once and nothing is sent to an endpoint', async t => {
	const fleet = await createCrashingFleet(t, {
		engineCount: 2, behaviorOf: body => body === 'first' ? {type: 'stream', pauseMs: 10} : {type: 'refuse', status: 503}, answerHeaders: () => ({'retry-after': '3'}),
	});
	await sendAtConstantRate(fleet, {perSecond: 20, forMs: 200, entryCount: 1});
	await delay(inFlightMs);
	const arrivalCountBefore = fleet.arrivals.length;
	const answers = await sendAtConstantRate(fleet, {perSecond: 20, forMs: 1000, entryCount: 1});
	t.equal(fleet.arrivals.length, arrivalCountBefore, 'nothing is sent to the endpoints');
	t.ok(answers.every(({status, headers, text}) => status === 503 && Number(headers['retry-after']) >= 1 && text.includes('pause')));
});
