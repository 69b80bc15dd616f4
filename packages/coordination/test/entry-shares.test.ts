import fc from 'fast-check';
import t from 'tap';
import {match} from 'ts-pattern';
import {createShareWorld, rate, type ShareWorld} from './share-simulation.js';
import {
	answerShareRequest, createEntryShares, setTeamRates, shareOf, updateEntries, applyShareAnswer, tickShares,
} from '@bitternpaddle/coordination';

const startThree = (world: ShareWorld, demands: readonly number[]): void => {
	for (const [index, demand] of demands.entries()) {
		world.start(`e${index}`, demand);
		world.run(300);
	}

	world.run(5000);
};

const isWithinLimit = (world: ShareWorld): boolean => world.maxUsage() <= 1 + 1e-9;

// The load balancer sends all requests of a team to one entry of three, which would
// refuse them at a third of the limit. The entry must borrow the unused shares of the others.
t.test('an entry that receives all requests gets the entire limit within seconds', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	t.equal(world.share('e0'), rate);
	world.entry('e0').demand = 0;
	world.entry('e1').demand = 2 * rate;
	world.run(20_000);
	t.ok(world.share('e1') > 0.95 * rate, `after the load balancer switched entries: ${world.share('e1')}`);
	t.ok(isWithinLimit(world), `${world.maxUsage()}`);
});

// Two entries request the third entry's entire spare capacity at the same time. It must
// lend the second one only what remains after the first loan.
t.test('two entries that request the same spare capacity share it', async t => {
	const world = createShareWorld();
	startThree(world, [rate, rate, 0]);
	t.ok(world.share('e0') + world.share('e1') > 0.95 * rate);
	t.ok(isWithinLimit(world), `${world.maxUsage()}`);
});

// The lender's answer is lost, or the borrower stops responding, so the lender cannot
// know whether the loan is being spent. It must count the loan until it expires, even
// if the borrower then requests less.
t.test('a loan whose answer was lost counts until it expires', async t => {
	const lender = createEntryShares({entryId: 'lender', incarnation: 1});
	setTeamRates(lender, new Map([['t', rate]]));
	updateEntries(lender, ['lender', 'other'], {askedAtMs: 0, nowMs: 0});
	const requestLoan = (number: number, taken: number, wanted: number, nowMs: number) => answerShareRequest(lender, {
		entryId: 'other', incarnation: 1, number, taken, wants: {t: wanted},
	}, nowMs);
	applyShareAnswer(lender, 'other', {
		incarnation: 1, number: 1, isCounted: true, entryIds: [], waitMs: 0, loans: {},
	}, {sentAtMs: 0, nowMs: 0});
	tickShares(lender, new Map(), 0);
	t.equal(shareOf(lender, 't', 0), rate / 2, 'an equal share');
	t.same(requestLoan(1, 0, 400, 0).loans, {t: 400});
	t.same(requestLoan(2, 0, 100, 1000).loans, {t: 100});
	t.equal(shareOf(lender, 't', 1000), 50, 'it is unknown which answer arrived');
	t.same(requestLoan(3, 2, 100, 1500).loans, {t: 100});
	t.equal(shareOf(lender, 't', 1500), 350, 'the second answer was acknowledged, so the first grant is void');
	t.same(requestLoan(2, 0, 400, 1600).loans, {}, 'a delayed older request gets nothing');
	t.equal(shareOf(lender, 't', 4900), 350);
	t.equal(shareOf(lender, 't', 5000), 450, 'the loan of the silent borrower has expired');
});

// A borrower no longer receives answers from its lenders. It must stop spending the loan
// before the lender counts it as expired; otherwise both spend the same tokens.
t.test('a borrower that receives no answers returns to its own share in time', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	world.droppedLinks.add('e1>e0');
	world.droppedLinks.add('e2>e0');
	world.entry('e1').demand = 2 * rate;
	world.run(3100);
	t.equal(world.share('e0'), rate / 3);
	t.ok(isWithinLimit(world), `${world.maxUsage()}`);
});

// A lender is killed and restarts without knowledge of its loans, while a borrower
// still spends one. The lender's first messages to the others must revoke the loan.
t.test('a restarted lender does not spend the rate that it had lent', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	world.stop('e1');
	world.start('e1', 2 * rate);
	world.run(8000);
	t.equal(world.share('e1'), rate / 3);
	t.ok(isWithinLimit(world), `${world.maxUsage()}`);
});

// An entry joins three others that use the entire limit, partly through loans. It
// may use its share only after each of them has released it.
t.test('a joining entry waits until the others have released its share', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 0, 0]);
	world.start('e3', 2 * rate);
	world.run(100);
	t.equal(world.share('e3'), 0);
	world.run(12_000);
	t.ok(world.share('e3') >= rate / 4);
	t.ok(isWithinLimit(world), `${world.maxUsage()}`);
});

// An entry is disconnected from control for a while, and the others take over its
// share. It must not resume with its former share when it reconnects.
t.test('an entry that was disconnected from control rejoins with nothing', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 2 * rate, 2 * rate]);
	world.entry('e2').isCutOff = true;
	world.run(22_000);
	t.equal(world.share('e0'), rate / 2, 'its share is redistributed');
	world.entry('e2').isCutOff = false;
	world.run(5000);
	t.equal(world.share('e2'), rate / 3);
	t.ok(isWithinLimit(world), `${world.maxUsage()}`);
});

// A new leader doesn't know all entries yet and lists only one. The other entries
// continue, so the listed one must not take over their shares.
t.test('entries that control briefly does not list keep their shares', async t => {
	const world = createShareWorld();
	startThree(world, [2 * rate, 2 * rate, 2 * rate]);
	world.run(300);
	updateEntries(world.entry('e0').shares, ['e0'], {askedAtMs: 6200, nowMs: 6200});
	world.run(300);
	t.equal(world.share('e0'), rate / 3);
	world.run(5000);
	t.ok(isWithinLimit(world), `${world.maxUsage()}`);
});

// An entry is reported as counted and takes its share, and immediately afterwards
// the responder stops counting it, because control has not listed it for a long time.
t.test('an entry that control does not list at present is not reported as counted', async t => {
	const shares = createEntryShares({entryId: 'e0', incarnation: 1});
	const isCounted = (nowMs: number): boolean => answerShareRequest(shares, {
		entryId: 'e1', incarnation: 1, number: nowMs, taken: 0, wants: {},
	}, nowMs).isCounted;
	t.notOk(isCounted(1), 'not listed yet');
	updateEntries(shares, ['e0', 'e1'], {askedAtMs: 2, nowMs: 2});
	t.ok(isCounted(3));
	updateEntries(shares, ['e0'], {askedAtMs: 4, nowMs: 4});
	t.notOk(isCounted(5));
	updateEntries(shares, ['e0', 'e1'], {askedAtMs: 6, nowMs: 6});
	t.ok(isCounted(7));
});

type Fault = {readonly type: 'restart' | 'stop' | 'start' | 'cut' | 'heal' | 'demand'; readonly entry: number; readonly waitMs: number; readonly demand: number};

const faults: fc.Arbitrary<Fault[]> = fc.array(fc.record({
	type: fc.constantFrom<Fault['type']>('restart', 'stop', 'start', 'cut', 'heal', 'demand'),
	entry: fc.integer({min: 0, max: 4}), waitMs: fc.integer({min: 1, max: 250}).map(steps => steps * 100), demand: fc.integer({min: 0, max: 2 * rate}),
}), {minLength: 5, maxLength: 25});

const applyFault = (world: ShareWorld, {type, entry, demand}: Fault): void => {
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
			world.entry(id).isCutOff = type === 'cut';
		})
		.with('demand', () => {
			world.entry(id).demand = demand;
		})
		.exhaustive();
};

// Under any order of kills, restarts, disconnections from control and changes of demand,
// with lost, delayed and duplicated messages, the sum stays within the limit.
t.test('the sum of all shares never exceeds the limit', async t => {
	fc.assert(fc.property(faults, fc.integer({min: 1, max: 1_000_000}), (schedule, seed) => {
		const world = createShareWorld({lossPercent: 20, maxDelayMs: 1500, seed});
		startThree(world, [2 * rate, rate, 0]);
		for (const fault of schedule) {
			applyFault(world, fault);
			world.run(fault.waitMs);
		}

		return isWithinLimit(world);
	}), {seed: 20_261, numRuns: 100});
	t.pass();
});
