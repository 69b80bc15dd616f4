import {setTimeout as delay} from 'node:timers/promises';
import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createCrashingFleet, type CrashingFleet, type EngineBehavior} from './support/crashing-fleet.js';

const windowMs = 10_000;
/** The deployment's settings in `createCrashingFleet`. */
const retryShare = 0.2;
const retryReserve = 100;

type Sent = {readonly requestId: string; readonly atMs: number};

/** Sends requests to the entries in turn at a constant rate. */
const sendAtConstantRate = async (fleet: CrashingFleet, sent: Sent[], {perSecond, forMs}: {perSecond: number; forMs: number}): Promise<void> => {
	const calls: Array<Promise<unknown>> = [];
	const startedAtMs = performance.now();
	for (let index = 0; performance.now() - startedAtMs < forMs; index++) {
		const requestId = `${startedAtMs}-${index}`;
		sent.push({requestId, atMs: performance.now()});
		calls.push(fleet.call(requestId, `body ${requestId}`, {entry: index % fleet.entries.length, path: `/draft/${index % 50}`}));
		await delay(Math.max(0, startedAtMs + ((index + 1) * 1000 / perSecond) - performance.now()));
	}

	await Promise.all(calls);
};

/** Arrivals beyond the first of each request, by time; the fleet itself sends `first` to each entry. */
const repeatTimesMsOf = ({arrivals}: CrashingFleet): number[] => {
	const seen = new Set<string>();
	return arrivals.filter(({requestId}) => requestId !== 'first').flatMap(({requestId, atMs}) => {
		const isRepeat = seen.has(requestId);
		seen.add(requestId);
		return isRepeat ? [atMs] : [];
	});
};

/** By how many arrivals beyond the first of each request the worst window exceeds what the settings allow; negative if none does. */
const worstExcess = (fleet: CrashingFleet, sent: readonly Sent[]): number => {
	const repeatTimesMs = repeatTimesMsOf(fleet);
	const countSent = (fromMs: number): number => sent.filter(({atMs}) => atMs >= fromMs && atMs < fromMs + windowMs).length;
	return Math.max(...repeatTimesMs.map(fromMs => {
		const repeats = repeatTimesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length;
		const requests = Math.max(countSent(fromMs), countSent(fromMs - (windowMs / 2)), countSent(fromMs - windowMs));
		return repeats - ((retryShare * requests) + retryReserve);
	}));
};

t.test('entries that are restarted in series stay within the retry budget that all entries share', async t => {
	const entryCount = 3;
	const fleet = await createCrashingFleet(t, {
		entryCount, engineCount: 6, behaviorOf: body => body === 'first' ? {type: 'stream', pauseMs: 10} : {type: 'loseAnswer'},
	});
	const sent: Sent[] = [];
	const traffic = sendAtConstantRate(fleet, sent, {perSecond: 80, forMs: 8000});
	for (let round = 0; round < 3; round++) {
		await delay(1800);
		await Promise.all(fleet.entries.map(async (_, entry) => fleet.restartEntry(entry)));
	}

	await traffic;
	const excess = worstExcess(fleet, sent);
	t.ok(excess <= 0, 'no window has more further attempts than the settings allow', {excess});
});

/** What each engine does with every request. */
const faultyBehaviors: readonly EngineBehavior[] = [
	{type: 'loseAnswer'},
	{type: 'refuse', status: 503},
	{type: 'refuse', status: 421},
	{type: 'hang'},
	{type: 'crash', afterMs: 20, events: 1},
	{type: 'crash', afterMs: 20, events: 0},
	{type: 'stream', pauseMs: 400},
	{type: 'stream', pauseMs: 2000},
];

t.test('every arrival beyond the first of its request was taken from the retry budget', async t => {
	let takenCount = 0;
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: faultyBehaviors.length, downMs: 300, behaviorOf: (body, _headers, engine) => body === 'first' ? {type: 'stream', pauseMs: 10} : faultyBehaviors[engine]!,
		logger: {
			...silentLogger,
			event(id) {
				takenCount += id === 'BP4071' ? 1 : 0;
			},
		},
	});
	const sent: Sent[] = [];
	const leaving = Array.from({length: 60}, async (_, index) => {
		await delay(index * 60);
		const leave = new AbortController();
		setTimeout(() => {
			leave.abort();
		}, 20 + ((index % 10) * 150));
		await fleet.call(`leaving-${index}`, `leaving ${index}`, {entry: index % 2, signal: leave.signal});
	});
	await Promise.all([sendAtConstantRate(fleet, sent, {perSecond: 30, forMs: 4000}), ...leaving]);
	const repeatCount = repeatTimesMsOf(fleet).length;
	t.ok(repeatCount > 20, `${repeatCount} arrivals beyond the first`);
	t.ok(repeatCount <= takenCount, `${repeatCount} arrivals beyond the first, ${takenCount} taken`);
});
