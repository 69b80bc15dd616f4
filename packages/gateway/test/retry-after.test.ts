import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet, type CallAnswer, type CrashingFleet} from './support/crashing-fleet.js';

const pauseMs = 2000;
/** Requests under way when the endpoint asked for a pause reach it within this. */
const underWayMs = 500;
const allowed = 2;

const entryOf = (requestId: string): number => Number(requestId.split('-', 1)[0]);

/** Sends requests at a steady rate to the entries in turn; ids begin with the entry. */
const sendSteadily = async (fleet: CrashingFleet, {perSecond, forMs, entryCount}: {perSecond: number; forMs: number; entryCount: number}): Promise<CallAnswer[]> => {
	const calls: Array<Promise<CallAnswer>> = [];
	const startedAtMs = performance.now();
	for (let index = 0; performance.now() - startedAtMs < forMs; index++) {
		const entry = index % entryCount;
		calls.push(fleet.call(`${entry}-${startedAtMs}-${index}`, `body ${index}`, {entry}));
		await delay(1000 / perSecond);
	}

	return Promise.all(calls);
};

/** The most requests that an engine got from one entry within a pause that it had asked that entry for. */
const mostInPause = ({arrivals}: CrashingFleet, engine: number, fromMs: number): number => {
	const refused = arrivals.filter(arrival => arrival.engine === engine && arrival.atMs >= fromMs)
		.map(({atMs, requestId}) => ({atMs, entry: entryOf(requestId)}));
	return Math.max(0, ...refused.map(({atMs, entry}) => refused.filter(other => other.entry === entry && other.atMs > atMs + underWayMs && other.atMs < atMs + pauseMs).length));
};

t.test('an endpoint that refuses requests with a Retry-After gets none from that entry until the time is over', async t => {
	const entryCount = 2;
	const state = {isOverloaded: false};
	const isRefusing = (engine: number): boolean => state.isOverloaded && engine === 0;
	const fleet = await createCrashingFleet(t, {
		entryCount, engineCount: 3, treat: (_body, _headers, engine) => isRefusing(engine) ? {type: 'refuse', status: 503} : {type: 'stream', pauseMs: 10},
		answerHeaders: engine => isRefusing(engine) ? {'retry-after': String(pauseMs / 1000)} : {},
	});
	await sendSteadily(fleet, {perSecond: 40, forMs: 500, entryCount});
	state.isOverloaded = true;
	const overloadedAtMs = performance.now();
	const answers = await sendSteadily(fleet, {perSecond: 40, forMs: 5000, entryCount});
	const most = mostInPause(fleet, 0, overloadedAtMs);
	t.ok(most <= allowed, `${most} requests within a pause of ${pauseMs} ms, ${allowed} allowed`);
	t.same(answers.filter(({status}) => status !== 200), [], 'the other endpoints serve all');
	state.isOverloaded = false;
	const recoveredAtMs = performance.now();
	await sendSteadily(fleet, {perSecond: 40, forMs: pauseMs + 1000, entryCount});
	t.ok(fleet.arrivals.some(({engine, atMs}) => engine === 0 && atMs > recoveredAtMs), 'the endpoint is used again');
});
