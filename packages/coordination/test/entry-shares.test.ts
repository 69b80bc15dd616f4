import fc from 'fast-check';
import t from 'tap';
import {match} from 'ts-pattern';
import {createShareWorld, rate, type ShareWorld} from './share-world.js';
import {
	answerShareRequest, createEntryShares, setTeamRates, shareOf, takeEntries, takeShareAnswer, tickShares,
} from '@bitternpaddle/coordination';

const startThree = (world: ShareWorld, demands: readonly number[]): void => {
	for (const [index, demand] of demands.entries()) {
		world.start(`e${index}`, demand);
		world.run(300);
	}

	world.run(5000);
};

const isAtMostLimit = (world: ShareWorld): boolean => world.worst() <= 1 + 1e-9;

// The caller is refused at a third of its team's limit: the balancer sends all
// its requests to one entry. That entry borrows what the others don't need.
t.test('an entry with all the requests gets the whole limit within seconds', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	t.equal(world.share('e0'), rate);
	world.entry('e0').demand = 0;
	world.entry('e1').demand = 2 * rate;
	world.run(20_000);
	t.ok(world.share('e1') > 0.95 * rate, `after the balancer turned: ${world.share('e1')}`);
	t.ok(isAtMostLimit(world), `${world.worst()}`);
});

// Two entries claim what the third doesn't need. It lends the second only what
// is left after the first, though both ask for all of it at once.
t.test('two entries that claim the same rest share it', async t => {
	const world = createShareWorld();
	startThree(world, [rate, rate, 0]);
	t.ok(world.share('e0') + world.share('e1') > 0.95 * rate);
	t.ok(isAtMostLimit(world), `${world.worst()}`);
});

// The lender's answer gets lost, or the borrower falls silent: the lender can't
// know whether its loan is spent, so it must keep away from it until the loan's
// time is over, also when the borrower then asks for less.
t.test('a loan whose answer was lost counts until its time is over', async t => {
	const lender = createEntryShares({entryId: 'lender', incarnation: 1});
	setTeamRates(lender, new Map([['t', rate]]));
	takeEntries(lender, ['lender', 'other'], {askedAtMs: 0, nowMs: 0});
	const ask = (number: number, taken: number, wanted: number, nowMs: number) => answerShareRequest(lender, {
		entryId: 'other', incarnation: 1, number, taken, wants: {t: wanted},
	}, nowMs);
	takeShareAnswer(lender, 'other', {
		incarnation: 1, number: 1, isCounted: true, entryIds: [], waitMs: 0, loans: {},
	}, {sentAtMs: 0, nowMs: 0});
	tickShares(lender, new Map(), 0);
	t.equal(shareOf(lender, 't', 0), rate / 2, 'an equal part');
	t.same(ask(1, 0, 400, 0).loans, {t: 400});
	t.same(ask(2, 0, 100, 1000).loans, {t: 100});
	t.equal(shareOf(lender, 't', 1000), 50, 'it is not known which answer came');
	t.same(ask(3, 2, 100, 1500).loans, {t: 100});
	t.equal(shareOf(lender, 't', 1500), 350, 'the second came, so the first is void');
	t.same(ask(2, 0, 400, 1600).loans, {}, 'a request that comes late gets nothing');
	t.equal(shareOf(lender, 't', 4900), 350);
	t.equal(shareOf(lender, 't', 5000), 450, 'the silent borrower has lost it before');
});

// A borrower doesn't hear its lender any more. It must stop before the lender
// counts the loan as ended, or both spend it.
t.test('a borrower that hears nothing goes back to its own part in time', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	world.dropped.add('e1>e0');
	world.dropped.add('e2>e0');
	world.entry('e1').demand = 2 * rate;
	world.run(3100);
	t.equal(world.share('e0'), rate / 3);
	t.ok(isAtMostLimit(world), `${world.worst()}`);
});

// A lender is killed and starts anew. It has forgotten what it lent, and the
// borrower still spends it: its first words to the others take the loan back.
t.test('a lender that restarts does not spend what it had lent', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	world.stop('e1');
	world.start('e1', 2 * rate);
	world.run(8000);
	t.equal(world.share('e1'), rate / 3);
	t.ok(isAtMostLimit(world), `${world.worst()}`);
});

// An entry joins three that have the whole limit, part of it lent. It takes its
// part only when each of them has left it.
t.test('a joining entry waits until the others have left it its part', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	world.start('e3', 2 * rate);
	world.run(100);
	t.equal(world.share('e3'), 0);
	world.run(12_000);
	t.ok(world.share('e3') >= rate / 4);
	t.ok(isAtMostLimit(world), `${world.worst()}`);
});

// An entry is cut off from control for a while, and the others take its part.
// It must not come back with the part that it had.
t.test('an entry that was cut off from control comes back with nothing', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 2 * rate, 2 * rate]);
	world.entry('e2').isCut = true;
	world.run(22_000);
	t.equal(world.share('e0'), rate / 2, 'its part is not lost for ever');
	world.entry('e2').isCut = false;
	world.run(5000);
	t.equal(world.share('e2'), rate / 3);
	t.ok(isAtMostLimit(world), `${world.worst()}`);
});

// A new leader doesn't know all entries yet and names only one. The others go
// on, so this one may not take their parts.
t.test('entries that control does not name for a moment keep their parts', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 2 * rate, 2 * rate]);
	world.run(300);
	takeEntries(world.entry('e0').shares, ['e0'], {askedAtMs: 6200, nowMs: 6200});
	world.run(300);
	t.equal(world.share('e0'), rate / 3);
	world.run(5000);
	t.ok(isAtMostLimit(world), `${world.worst()}`);
});

// An entry is told that it counts, and takes its part; a moment later the other
// stops to count it, since control had not named it for long.
t.test('an entry that control does not name at present is not told that it counts', async t => {
	const shares = createEntryShares({entryId: 'e0', incarnation: 1});
	const isCounted = (nowMs: number): boolean => answerShareRequest(shares, {
		entryId: 'e1', incarnation: 1, number: nowMs, taken: 0, wants: {},
	}, nowMs).isCounted;
	t.notOk(isCounted(1), 'not named yet');
	takeEntries(shares, ['e0', 'e1'], {askedAtMs: 2, nowMs: 2});
	t.ok(isCounted(3));
	takeEntries(shares, ['e0'], {askedAtMs: 4, nowMs: 4});
	t.notOk(isCounted(5));
	takeEntries(shares, ['e0', 'e1'], {askedAtMs: 6, nowMs: 6});
	t.ok(isCounted(7));
});

type Fault = {readonly type: 'restart' | 'stop' | 'start' | 'cut' | 'heal' | 'demand'; readonly entry: number; readonly waitMs: number; readonly demand: number};

const faults: fc.Arbitrary<Fault[]> = fc.array(fc.record({
	type: fc.constantFrom<Fault['type']>('restart', 'stop', 'start', 'cut', 'heal', 'demand'),
	entry: fc.integer({min: 0, max: 4}), waitMs: fc.integer({min: 1, max: 250}).map(steps => steps * 100), demand: fc.integer({min: 0, max: 2 * rate}),
}), {minLength: 5, maxLength: 25});

const inflict = (world: ShareWorld, {type, entry, demand}: Fault): void => {
	const id = `e${entry}`;
	if (!world.ids().includes(id)) {
		if (type === 'start') {
			world.start(id, demand);
		}

		return;
	}

	match(type)
		.with('start', () => undefined)
		.with('stop', () => {
			world.stop(id);
		})
		.with('restart', () => {
			world.stop(id);
			world.start(id, demand);
		})
		.with('cut', 'heal', () => {
			world.entry(id).isCut = type === 'cut';
		})
		.with('demand', () => {
			world.entry(id).demand = demand;
		})
		.exhaustive();
};

// Any order of kills, restarts, cuts from control and turns of the balancer,
// with messages that are lost, late and doubled: the sum stays under the limit.
t.test('the sum of all shares never exceeds the limit', async t => {
	fc.assert(fc.property(faults, fc.integer({min: 1, max: 1_000_000}), (schedule, seed) => {
		const world = createShareWorld({lossPercent: 20, longestDelayMs: 1500, seed});
		startThree(world, [2 * rate, rate, 0]);
		for (const fault of schedule) {
			inflict(world, fault);
			world.run(fault.waitMs);
		}

		return isAtMostLimit(world);
	}), {seed: 20_261, numRuns: 100});
	t.pass();
});
