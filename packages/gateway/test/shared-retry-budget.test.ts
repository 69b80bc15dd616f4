import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCrashingFleet, type CrashingFleet} from './support/crashing-fleet.js';

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

/** By how many arrivals beyond the first of each request the worst window exceeds what the settings allow; negative if none does. */
const worstExcess = ({arrivals}: CrashingFleet, sent: readonly Sent[]): number => {
	const seen = new Set<string>();
	const repeatTimesMs: number[] = [];
	for (const {requestId, atMs} of arrivals) {
		if (seen.has(requestId)) {
			repeatTimesMs.push(atMs);
		}

		seen.add(requestId);
	}

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
