import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet, type CrashingFleet, type Treatment} from './support/crashing-fleet.js';

const treat = (): Treatment => ({type: 'stream', pauseMs: 10});

const windowMs = 4000;
/** Every entry observes a limit this long after the endpoint first named it. */
const toldMs = 1000;

/** What an endpoint may get in a window: half as much again as its limit, and a few requests beyond. */
const allowedIn = (perSecond: number): number => Math.ceil((1.5 * perSecond * windowMs / 1000) + 5);

/** Sends requests at a steady rate, to the entry that `entryOf` names for each, and waits for their answers. */
const sendSteadily = async (fleet: CrashingFleet, {perSecond, forMs, entryOf}: {perSecond: number; forMs: number; entryOf(index: number): number}): Promise<number[]> => {
	const calls: Array<Promise<number>> = [];
	const startedAtMs = performance.now();
	for (let index = 0; performance.now() - startedAtMs < forMs; index++) {
		calls.push(fleet.call(`steady-${startedAtMs}-${index}`, `body ${index}`, {entry: entryOf(index)}).then(({status}) => status));
		await delay(1000 / perSecond);
	}

	return Promise.all(calls);
};

/** The most arrivals at an engine in any window from `fromMs` on. */
const mostInWindow = ({arrivals}: CrashingFleet, engine: number, fromMs: number): number => {
	const timesMs = arrivals.filter(arrival => arrival.engine === engine && arrival.atMs >= fromMs).map(({atMs}) => atMs);
	return Math.max(0, ...timesMs.map(startMs => timesMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length));
};

t.test('an endpoint gets no more requests from all entries together than the limit that it names', async t => {
	const entryCount = 4;
	const perSecond = 2;
	const state = {isLimited: false};
	const fleet = await createCrashingFleet(t, {
		entryCount, engineCount: 3, treat, answerHeaders: engine => state.isLimited && engine === 0 ? {'x-limit': String(perSecond)} : {},
	});
	await sendSteadily(fleet, {perSecond: 40, forMs: 1000, entryOf: index => index % entryCount});
	state.isLimited = true;
	const namedAtMs = performance.now();
	const statuses = await sendSteadily(fleet, {perSecond: 40, forMs: toldMs + windowMs + 1500, entryOf: index => index % entryCount});
	const most = mostInWindow(fleet, 0, namedAtMs + toldMs);
	t.ok(most <= allowedIn(perSecond), `${most} requests in ${windowMs} ms, ${allowedIn(perSecond)} allowed`);
	t.ok(most >= perSecond * windowMs / 2000, 'half of the limit is used at least');
	t.same(statuses.filter(status => status !== 200), [], 'the other endpoints take the rest');
});
