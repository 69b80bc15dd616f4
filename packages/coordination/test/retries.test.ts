import t from 'tap';
import {
	createRandom, createRetryCredit, createRetryPool, createVoterPart, currentPart, earnCredit, grantRetries, pruneRetryPool, randomFraction, recordPooledRequests, recordVoters, returnCredit,
	takeCredit, type Random, type RetryCredit, type RetryPool, type VoterPart,
} from '@bitternpaddle/coordination';

const terms = {share: 0.2, reserve: 108, windowMs: 10_000};
const stepMs = 20;
const reportMs = 700;
const entryCount = 7;
const voterCount = 3;

type Entry = {credit: RetryCredit; unreportedCounts: number[]; isCut: boolean; reportsAtMs: number};
type Voter = {pool: RetryPool; part: VoterPart; isCut: boolean};
type Fleet = {
	readonly random: Random;
	readonly entries: Entry[];
	readonly voters: Voter[];
	/** Share of the requests whose first attempt fails. */
	failureShare: number;
	perSecond: number;
	/** How much of the traffic each entry receives, relative to the others. */
	readonly weights: number[];
	readonly requestTimesMs: number[];
	readonly retryTimesMs: number[];
	readonly deniedTimesMs: number[];
};

const createEntry = (): Entry => ({
	credit: createRetryCredit(terms), unreportedCounts: Array.from({length: voterCount}, () => 0), isCut: false, reportsAtMs: 0,
});

const createVoter = (isFirstStart: boolean): Voter => ({pool: createRetryPool(terms), part: createVoterPart(terms, {isFirstStart}), isCut: false});

const createFleet = (seed: number): Fleet => ({
	random: createRandom(seed), failureShare: 0, perSecond: 100, weights: Array.from({length: entryCount}, () => 1), requestTimesMs: [], retryTimesMs: [], deniedTimesMs: [],
	entries: Array.from({length: entryCount}, createEntry), voters: Array.from({length: voterCount}, () => createVoter(true)),
});

const viewOf = ({isCut}: Voter) => ({voterCount, freshAgeMs: isCut ? null : 0});

const drawFrom = ({voters}: Fleet, {isCut}: Entry, nowMs: number): boolean => !isCut && voters.some(voter => {
	const part = currentPart(voter.part, viewOf(voter), nowMs);
	return typeof part === 'number' && grantRetries(voter.pool, 's', {count: 1, part}, nowMs) === 1;
});

const pickEntry = ({entries, weights, random}: Fleet): Entry => {
	let left = randomFraction(random) * weights.reduce((sum, weight) => sum + weight, 0);
	return entries.find((_, index) => {
		left -= weights[index]!;
		return left < 0;
	}) ?? entries[0]!;
};

const step = (fleet: Fleet, nowMs: number): void => {
	const {voters, entries, random, requestTimesMs, retryTimesMs, deniedTimesMs} = fleet;
	for (const voter of voters) {
		recordVoters(voter.part, viewOf(voter), nowMs);
		pruneRetryPool(voter.pool, nowMs);
	}

	for (const entry of entries.filter(({isCut, reportsAtMs}) => !isCut && reportsAtMs <= nowMs)) {
		entry.reportsAtMs = nowMs + reportMs;
		for (const [index, voter] of voters.entries()) {
			recordPooledRequests(voter.pool, 's', entry.unreportedCounts[index]!, nowMs);
			entry.unreportedCounts[index] = 0;
		}
	}

	const requestCount = Math.floor((fleet.perSecond * stepMs / 1000) + randomFraction(random));
	for (let index = 0; index < requestCount; index++) {
		const entry = pickEntry(fleet);
		requestTimesMs.push(nowMs);
		earnCredit(entry.credit, nowMs);
		entry.unreportedCounts = entry.unreportedCounts.map(count => count + 1);
		if (randomFraction(random) < fleet.failureShare) {
			const isTaken = takeCredit(entry.credit, nowMs) !== null || drawFrom(fleet, entry, nowMs);
			(isTaken ? retryTimesMs : deniedTimesMs).push(nowMs);
		}
	}
};

/** `events` are run at their times. */
const run = (fleet: Fleet, untilMs: number, events: ReadonlyArray<readonly [atMs: number, event: () => void]>): void => {
	for (let nowMs = 0; nowMs < untilMs; nowMs += stepMs) {
		for (const [, event] of events.filter(([atMs]) => atMs >= nowMs && atMs < nowMs + stepMs)) {
			event();
		}

		step(fleet, nowMs);
	}
};

const countIn = (timesMs: readonly number[], fromMs: number): number => timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + terms.windowMs).length;

/** The largest share of the budget that was used in a window. */
const largestShare = ({requestTimesMs, retryTimesMs}: Fleet): number => Math.max(0, ...[...new Set(retryTimesMs)].map(fromMs => {
	const requestCount = Math.max(countIn(requestTimesMs, fromMs), countIn(requestTimesMs, fromMs - (terms.windowMs / 2)), countIn(requestTimesMs, fromMs - terms.windowMs));
	return countIn(retryTimesMs, fromMs) / ((terms.share * requestCount) + terms.reserve);
}));

const restartEntries = ({entries}: Fleet, count: number): void => {
	for (const index of entries.keys()) {
		if (index < count) {
			entries[index] = createEntry();
		}
	}
};

const restartVoter = ({voters}: Fleet, index: number): void => {
	voters[index] = createVoter(false);
};

const failuresFrom = (fleet: Fleet, atMs: number): readonly [number, () => void] => [atMs, () => {
	fleet.failureShare = 0.9;
}];

t.test('entries that fail at nothing but endpoints use most of the budget', async t => {
	const fleet = createFleet(1);
	run(fleet, 40_000, [failuresFrom(fleet, 15_000)]);
	const share = largestShare(fleet);
	t.ok(share <= 1, `${share} of the budget`);
	t.ok(share > 0.7, `${share} of the budget`);
});

t.test('callers at one busy entry can use most of the budget', async t => {
	const fleet = createFleet(5);
	fleet.weights[0] = 30;
	run(fleet, 40_000, [failuresFrom(fleet, 15_000)]);
	const share = largestShare(fleet);
	t.ok(share <= 1, `${share} of the budget`);
	t.ok(share > 0.7, `${share} of the budget`);
});

t.test('while four in ten endpoints fail part of their requests, no caller is denied a further attempt', async t => {
	for (const weight of [1, 30]) {
		const fleet = createFleet(6);
		fleet.weights[0] = weight;
		run(fleet, 60_000, [[15_000, () => {
			fleet.failureShare = 0.4 * 0.5;
		}]]);
		t.same(fleet.deniedTimesMs, []);
		t.ok(fleet.retryTimesMs.length > 500);
	}
});

t.test('entries that restart in series do not begin with a new budget each', async t => {
	for (const intervalMs of [1000, 2000, 4000]) {
		const fleet = createFleet(2);
		const restarts = Array.from({length: 10}, (_, index) => [15_500 + (index * intervalMs), () => {
			restartEntries(fleet, entryCount);
		}] as const);
		run(fleet, 45_000, [failuresFrom(fleet, 15_000), ...restarts]);
		t.ok(largestShare(fleet) <= 1, `restarts each ${intervalMs} ms: ${largestShare(fleet)} of the budget`);
	}
});

t.test('requests that earned attempts at an entry that has ended since are not counted again at the entry that takes over', async t => {
	const fleet = createFleet(3);
	fleet.weights.fill(0, 4);
	run(fleet, 40_000, [failuresFrom(fleet, 15_000), [16_000, () => {
		fleet.weights.fill(0);
		fleet.weights.fill(1, 4);
	}]]);
	t.ok(largestShare(fleet) <= 1, `${largestShare(fleet)} of the budget`);
});

t.test('a core host that has just started grants nothing until what it granted before has left the window', async t => {
	const fleet = createFleet(4);
	const restarts = Array.from({length: 12}, (_, index) => [15_300 + (index * 900), () => {
		restartVoter(fleet, index % voterCount);
	}] as const);
	run(fleet, 45_000, [failuresFrom(fleet, 15_000), ...restarts]);
	t.ok(largestShare(fleet) <= 1, `${largestShare(fleet)} of the budget`);
});

t.test('core hosts that do not reach each other grant their parts only', async t => {
	const part = createVoterPart(terms, {isFirstStart: true});
	recordVoters(part, {voterCount: 3, freshAgeMs: 0}, 0);
	t.equal(currentPart(part, {voterCount: 3, freshAgeMs: 0}, 0), 1 / 3);
	t.equal(currentPart(part, {voterCount: 3, freshAgeMs: 2500}, 0), 'unconfirmed', 'it may have been replaced');
	recordVoters(part, {voterCount: 4, freshAgeMs: 0}, 1000);
	t.equal(currentPart(part, {voterCount: 4, freshAgeMs: 0}, 1000), 1 / 4);
	recordVoters(part, {voterCount: 3, freshAgeMs: 0}, 2000);
	t.equal(currentPart(part, {voterCount: 3, freshAgeMs: 0}, 2000), 1 / 4, 'the removed one may not know yet');
	recordVoters(part, {voterCount: 3, freshAgeMs: 0}, 20_000);
	t.equal(currentPart(part, {voterCount: 3, freshAgeMs: 0}, 20_000), 1 / 3);
	recordVoters(part, {voterCount: null, freshAgeMs: 0}, 21_000);
	t.equal(currentPart(part, {voterCount: null, freshAgeMs: 0}, 21_000), 'notVoter');
	recordVoters(part, {voterCount: 3, freshAgeMs: 0}, 22_000);
	t.equal(currentPart(part, {voterCount: 3, freshAgeMs: 0}, 30_000), 'newVoter');
});

t.test('no window exceeds the budget in forty random series of restarts, cuts and changes of traffic', async t => {
	for (let seed = 1; seed <= 40; seed++) {
		const fleet = createFleet(seed);
		const {random, entries, voters, weights} = fleet;
		const pick = (count: number): number => random.between(0, count - 1);
		const kinds: ReadonlyArray<() => void> = [
			() => {
				restartEntries(fleet, random.between(1, entryCount));
			},
			() => {
				restartVoter(fleet, pick(voterCount));
			},
			() => {
				const entry = entries[pick(entryCount)]!;
				entry.isCut = !entry.isCut;
			},
			() => {
				const voter = voters[pick(voterCount)]!;
				voter.isCut = !voter.isCut;
			},
			() => {
				weights[pick(entryCount)] = pick(4);
			},
			() => {
				fleet.failureShare = randomFraction(random);
			},
		];
		const events = Array.from({length: 40}, () => [random.between(10_000, 45_000), kinds[pick(kinds.length)]!] as const);
		run(fleet, 50_000, [failuresFrom(fleet, random.between(10_000, 20_000)), ...events]);
		t.ok(largestShare(fleet) <= 1, `seed ${seed}: ${largestShare(fleet)} of the budget`);
	}
});

t.test('an attempt that was not sent is returned, unless it has expired', async t => {
	const credit = createRetryCredit(terms);
	for (let index = 0; index < 10; index++) {
		earnCredit(credit, 0);
	}

	const charge = takeCredit(credit, 100)!;
	t.equal(takeCredit(credit, 100), null);
	returnCredit(charge);
	t.ok(takeCredit(credit, 200));
	returnCredit(charge);
	t.equal(takeCredit(credit, 5000), null);
});
