import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {
	createCrashingFleet, type CallAnswer, type CrashingFleet, type EngineBehavior,
} from './support/crashing-fleet.js';

const behaviorOf = (): EngineBehavior => ({type: 'stream', pauseMs: 10});

const windowMs = 4000;
/** Every entry observes a limit within this time after the endpoint first advertises it. */
const propagationMs = 1000;

/** Requests that an endpoint may receive in a window: 1.5 times its limit plus 5. */
const allowedIn = (perSecond: number): number => Math.ceil((1.5 * perSecond * windowMs / 1000) + 5);

/** Sends requests at a constant rate, each to the entry that `entryOf` returns, and waits for their answers. */
const sendAtConstantRate = async (fleet: CrashingFleet, {perSecond, forMs, entryOf}: {perSecond: number; forMs: number; entryOf(index: number): number}): Promise<number[]> => {
	const calls: Array<Promise<number>> = [];
	const startedAtMs = performance.now();
	for (let index = 0; performance.now() - startedAtMs < forMs; index++) {
		calls.push(fleet.call(`steady-${startedAtMs}-${index}`, `body ${index}`, {entry: entryOf(index)}).then(({status}) => status));
		await delay(1000 / perSecond);
	}

	return Promise.all(calls);
};

/** The largest number of arrivals at an engine in any window that begins at or after `fromMs` and before `untilMs`. */
const maxInWindow = ({arrivals}: CrashingFleet, engine: number, fromMs: number, untilMs = Number.POSITIVE_INFINITY): number => {
	const timesMs = arrivals.filter(arrival => arrival.engine === engine && arrival.atMs >= fromMs).map(({atMs}) => atMs);
	return Math.max(0, ...timesMs.filter(atMs => atMs < untilMs).map(startMs => timesMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length));
};

t.test('all entries together send an endpoint no more requests than its advertised limit', async t => {
	const entryCount = 4;
	const perSecond = 2;
	const state = {isLimited: false};
	const fleet = await createCrashingFleet(t, {
		entryCount, engineCount: 3, behaviorOf, answerHeaders: engine => state.isLimited && engine === 0 ? {'x-limit': String(perSecond)} : {},
	});
	await sendAtConstantRate(fleet, {perSecond: 40, forMs: 1000, entryOf: index => index % entryCount});
	state.isLimited = true;
	const advertisedAtMs = performance.now();
	const statuses = await sendAtConstantRate(fleet, {perSecond: 40, forMs: propagationMs + windowMs + 1500, entryOf: index => index % entryCount});
	const max = maxInWindow(fleet, 0, advertisedAtMs + propagationMs);
	t.ok(max <= allowedIn(perSecond), `${max} requests in ${windowMs} ms, ${allowedIn(perSecond)} allowed`);
	t.ok(max >= perSecond * windowMs / 2000, 'at least half of the limit is used');
	t.same(statuses.filter(status => status !== 200), [], 'the other endpoints serve the rest');
});

t.test('every entry applies a limit that changes and is lifted', async t => {
	const state: {limit: string | null} = {limit: '6'};
	const fleet = await createCrashingFleet(t, {
		entryCount: 3, engineCount: 2, behaviorOf, answerHeaders: engine => state.limit !== null && engine === 0 ? {'x-limit': state.limit} : {},
	});
	const send = async (forMs: number): Promise<number> => {
		const startedAtMs = performance.now();
		await sendAtConstantRate(fleet, {perSecond: 40, forMs, entryOf: index => index % 3});
		return startedAtMs;
	};

	await send(1000);
	state.limit = '2';
	const loweredAtMs = await send(propagationMs + windowMs);
	const max = maxInWindow(fleet, 0, loweredAtMs + propagationMs);
	t.ok(max <= allowedIn(2), `${max} requests in ${windowMs} ms after the limit fell, ${allowedIn(2)} allowed`);
	state.limit = null;
	const liftedAtMs = await send((2 * windowMs) + 2000);
	const maxUnderLimit = maxInWindow(fleet, 0, loweredAtMs + propagationMs, liftedAtMs);
	t.ok(maxUnderLimit <= allowedIn(2), `${maxUnderLimit} requests in ${windowMs} ms that began under the limit, ${allowedIn(2)} allowed`);
	// The limit is released one window after the first answer without it, which may take a second to arrive.
	t.ok(maxInWindow(fleet, 0, liftedAtMs + windowMs + 2000) > allowedIn(2), 'the endpoint receives its share of the requests again');
});

t.test('when every endpoint advertises a limit, no limit is exceeded and excess requests are refused with a retry time', async t => {
	const perSecond = 2;
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 2, behaviorOf, answerHeaders: () => ({'x-limit': String(perSecond)}),
	});
	const answers: CallAnswer[] = [];
	const startedAtMs = performance.now();
	await Promise.all(Array.from({length: 150}, async (_, index) => {
		await delay(index * 40);
		answers.push(await fleet.call(`call-${index}`, `body ${index}`, {entry: index % 2, deadlineMs: 4000}));
	}));
	for (const engine of [0, 1]) {
		const max = maxInWindow(fleet, engine, startedAtMs);
		t.ok(max <= allowedIn(perSecond) && max >= perSecond * windowMs / 2000, `${max} requests in ${windowMs} ms`);
	}

	const refused = answers.filter(({status}) => status === 503);
	t.equal(refused.length + answers.filter(({status}) => status === 200).length, answers.length);
	t.ok(refused.length > answers.length / 2);
	t.ok(refused.every(({headers, text}) => Number(headers['retry-after']) >= 0 && text.includes('limit')));
});

// Guards against exceeding a limit that the entry has not itself received from the endpoint.
t.test('a restarted entry observes a limit that only other entries received', async t => {
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 2, behaviorOf, answerHeaders: engine => engine === 0 ? {'x-limit': '0'} : {},
	});
	await sendAtConstantRate(fleet, {perSecond: 20, forMs: 500, entryOf: () => 0});
	await fleet.restartEntry(1);
	await delay(propagationMs);
	const before = fleet.arrivals.filter(({engine}) => engine === 0).length;
	const statuses = await sendAtConstantRate(fleet, {perSecond: 20, forMs: 1000, entryOf: () => 1});
	t.ok(fleet.arrivals.filter(({engine}) => engine === 0).length - before <= 2);
	t.same(statuses.filter(status => status !== 200), []);
});

// Guards against sending several waiting requests with one permit.
t.test('requests that wait for the same endpoints do not exceed the limits of those endpoints', async t => {
	const perSecond = 5;
	const fleet = await createCrashingFleet(t, {engineCount: 2, behaviorOf, answerHeaders: () => ({'x-limit': String(perSecond)})});
	const startedAtMs = performance.now();
	const calls: Array<Promise<CallAnswer>> = [];
	for (let burst = 0; performance.now() - startedAtMs < propagationMs + windowMs + 1000; burst++) {
		calls.push(...Array.from({length: 30}, async (_, index) => fleet.call(`burst-${burst}-${index}`, `body ${burst} ${index}`)));
		await delay(200);
	}

	await Promise.all(calls);
	for (const engine of [0, 1]) {
		const max = maxInWindow(fleet, engine, startedAtMs + propagationMs);
		t.ok(max <= allowedIn(perSecond), `${max} requests in ${windowMs} ms, ${allowedIn(perSecond)} allowed`);
	}
});
