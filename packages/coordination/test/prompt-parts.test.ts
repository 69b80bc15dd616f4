import fc from 'fast-check';
import t from 'tap';
import {
	addPartSightings, adoptPartVerdict, clearPart, countPartCompletions, createPartLedger, createRandom, isFreshRun, judgeParts, keyOfParts, narrowVerdicts,
	partVerdictOn, promptPart, prunePartLedger, randomFraction,
	type PartLedger, type PartSighting, type PartVerdict, type PromptPart, type Random,
} from '@bitternpaddle/coordination';

const part = (id: string): PromptPart => promptPart('m', id);
const parts = (ids: string): PromptPart[] => ids.split(' ').map(id => part(id));

/** Runs that broke at an exit, each written as its parts. */
const exitOf = (address: string, atMs: number, ...runs: readonly string[]): PartSighting[] => runs.map((ids, index) => ({
	address, atMs, request: `${address}-${atMs}-${index}`, parts: parts(ids), seenBy: 'entry', isFresh: true,
}));

const complete = (ledger: PartLedger, atMs: number, count: number, ids: string): void => {
	countPartCompletions(ledger, 'm', count, atMs);
	for (const each of parts(ids)) {
		clearPart(ledger, each, atMs, atMs);
	}
};

const settledMs = 1000;
const judge = (ledger: PartLedger, nowMs: number): PartVerdict[] => judgeParts(ledger, nowMs + settledMs).map(({verdict}) => verdict);
const isRefused = (ledger: PartLedger, ids: string, nowMs: number): boolean => partVerdictOn(ledger, parts(ids), nowMs) !== null;
const condemnedIn = (ledger: PartLedger): string[] => [...ledger.verdicts.keys()].toSorted();

/** Exits at which each time a run with the given parts broke beside sound ones, which complete in between. */
const crashSeries = (ledger: PartLedger, count: number, bad: (index: number) => string, completed: (index: number) => string = index => `first theme${index % 5}`): void => {
	for (let index = 0; index < count; index++) {
		const atMs = 1000 + (index * 300);
		addPartSightings(ledger, exitOf(`e${index}`, atMs, bad(index), `first theme${index % 5}`, `first theme${(index + 2) % 5}`), atMs);
		complete(ledger, atMs + 100, 5, completed(index));
	}
};

const afterSeriesMs = 4000;

t.test('a part in different requests is told from the first part, other parts and the neighbours at the exits', async t => {
	const ledger = createPartLedger();
	crashSeries(ledger, 5, index => `first bad theme${(index + 1) % 5}`);
	t.same(judge(ledger, afterSeriesMs).map(verdict => verdict.parts), [parts('bad')]);
	t.ok(isRefused(ledger, 'other bad', afterSeriesMs));
	for (const sound of ['first', 'first theme0', 'first theme1 theme2', 'rare']) {
		t.notOk(isRefused(ledger, sound, afterSeriesMs), sound);
	}
});

t.test('fewer than five exits, fewer than four requests, or exits at one moment condemn no part', async t => {
	const few = createPartLedger();
	crashSeries(few, 4, () => 'first bad');
	t.same(judge(few, afterSeriesMs), []);
	const repeated = createPartLedger();
	const atOnce = createPartLedger();
	for (let index = 0; index < 8; index++) {
		const atMs = 1000 + (index * 300);
		addPartSightings(repeated, exitOf(`e${index}`, atMs, 'first bad').map(sighting => ({...sighting, request: 'same'})), atMs);
		addPartSightings(atOnce, exitOf(`e${index}`, 1000 + index, 'first bad', 'first'), 1010);
	}

	for (const ledger of [repeated, atOnce]) {
		complete(ledger, 3500, 100, 'first');
		t.same(judge(ledger, afterSeriesMs), []);
	}
});

t.test('without completed runs no part is condemned that most requests share', async t => {
	const ledger = createPartLedger();
	for (let index = 0; index < 16; index++) {
		addPartSightings(ledger, exitOf(`e${index}`, 1000 + (index * 300), `first theme${index % 5}`, `first theme${index % 7}`, 'first'), 7000);
	}

	t.same(judge(ledger, 7000), []);
});

t.test('a part that always comes with the bad one does not stand for it', async t => {
	const ledger = createPartLedger();
	crashSeries(ledger, 5, () => 'first companion bad');
	judge(ledger, afterSeriesMs);
	t.same(condemnedIn(ledger), ['m/bad,m/companion'], 'nothing tells them apart');
	t.ok(isRefused(ledger, 'first bad companion', afterSeriesMs));
	t.notOk(isRefused(ledger, 'first companion', afterSeriesMs));
	t.notOk(isRefused(ledger, 'first bad', afterSeriesMs));

	const completed = createPartLedger();
	crashSeries(completed, 5, () => 'first companion bad');
	judge(completed, afterSeriesMs);
	complete(completed, afterSeriesMs, 1, 'first companion');
	t.same(condemnedIn(completed), ['m/bad'], 'a completed run clears the companion');

	addPartSightings(ledger, [...exitOf('e8', 4000, 'first bad', 'first theme1'), ...exitOf('e9', 4300, 'first bad')], 4300);
	t.same(narrowVerdicts(ledger, 4400), [], 'not before all entries have reported');
	t.same(narrowVerdicts(ledger, 5300), [], 'nor while no other run completes');
	complete(ledger, 5000, 8, 'first theme1');
	t.equal(narrowVerdicts(ledger, 5300).length, 1);
	t.same(condemnedIn(ledger), ['m/bad'], 'so do further exits without the companion');
});

t.test('a neighbour with one part of a verdict does not narrow it', async t => {
	const ledger = createPartLedger();
	crashSeries(ledger, 5, () => 'first companion bad');
	judge(ledger, afterSeriesMs);
	addPartSightings(ledger, [...exitOf('e8', 4000, 'first companion', 'first companion bad'), ...exitOf('e9', 4300, 'first companion bad', 'first companion')], 4300);
	t.same(narrowVerdicts(ledger, 5300), []);
});

t.test('an adopted verdict is not narrowed by exits at which a run had all of its parts', async t => {
	const source = createPartLedger();
	crashSeries(source, 5, () => 'first companion bad');
	const [verdict] = judge(source, afterSeriesMs);
	const ledger = createPartLedger();
	for (const [index, address] of ['e20', 'e21', 'e22'].entries()) {
		addPartSightings(ledger, exitOf(address, 3000 + index, 'first companion bad', 'first companion'), 3100);
	}

	adoptPartVerdict(ledger, {...verdict!, evidence: []}, 3200);
	t.same(narrowVerdicts(ledger, afterSeriesMs), []);
	t.same(condemnedIn(ledger), ['m/bad,m/companion']);
});

t.test('runs that completed before the exits do not count as completed without a part', async t => {
	const ledger = createPartLedger();
	complete(ledger, 900, 50, 'first');
	for (let index = 0; index < 6; index++) {
		addPartSightings(ledger, exitOf(`e${index}`, 1000 + (index * 300), 'first', `first theme${index}`), 3000);
	}

	t.same(judge(ledger, 3000), []);
});

t.test('two bad parts at once are both found', async t => {
	const ledger = createPartLedger();
	crashSeries(ledger, 12, index => index % 2 === 0 ? 'first bad' : 'first worse');
	judge(ledger, 6000);
	t.same(condemnedIn(ledger), ['m/bad', 'm/worse']);
});

t.test('the parts of one request that crashes endpoints again and again are not condemned', async t => {
	const ledger = createPartLedger();
	for (let index = 0; index < 6; index++) {
		const atMs = 1000 + (index * 300);
		addPartSightings(ledger, exitOf(`e${index}`, atMs, 'first subject').map(sighting => ({...sighting, request: 'same'})), atMs);
		addPartSightings(ledger, exitOf(`e${index}`, atMs, 'first theme1'), atMs);
		complete(ledger, atMs + 100, 10, 'first theme1');
	}

	t.same(judge(ledger, afterSeriesMs), []);
});

t.test('a completed run lifts a verdict, also against an entry that still has it', async t => {
	const ledger = createPartLedger();
	crashSeries(ledger, 5, () => 'first bad');
	const [verdict] = judge(ledger, afterSeriesMs);
	const elsewhere: PartVerdict = {...verdict!, evidence: [...verdict!.evidence]};
	clearPart(ledger, part('bad'), 900, afterSeriesMs);
	t.ok(isRefused(ledger, 'bad', afterSeriesMs), 'a run from before the exits proves nothing');
	clearPart(ledger, part('bad'), 5000, 5000);
	t.notOk(isRefused(ledger, 'bad', 5000));
	prunePartLedger(ledger, 200_000);
	t.equal(adoptPartVerdict(ledger, elsewhere, 200_000), null, 'also minutes later');
	t.notOk(isRefused(ledger, 'bad', 200_000));
});

t.test('a verdict expires, and one more exit renews it', async t => {
	const ledger = createPartLedger();
	crashSeries(ledger, 5, () => 'first bad');
	const [{untilMs}] = judge(ledger, afterSeriesMs) as [PartVerdict];
	t.ok(isRefused(ledger, 'bad', untilMs - 1));
	t.notOk(isRefused(ledger, 'bad', untilMs), 'a repaired endpoint is tried again');
	t.equal(addPartSightings(ledger, exitOf('e1', untilMs + 1000, 'first bad'), untilMs + 1000).verdicts.length, 1);
	t.ok(isRefused(ledger, 'bad', untilMs + 2000));
	prunePartLedger(ledger, untilMs + 10_000_000);
	t.same([ledger.exits.length, ledger.verdicts.size, ledger.parts.size, ledger.completions.size, ledger.completionCounts.size], [0, 0, 0, 0, 0], 'no record of it is left');
});

t.test('an entry without own evidence adopts a verdict, and gives up a wider one', async t => {
	const source = createPartLedger();
	crashSeries(source, 5, () => 'first bad');
	const [verdict] = judge(source, afterSeriesMs);
	const ledger = createPartLedger();
	t.not(adoptPartVerdict(ledger, {...verdict!, parts: parts('bad companion'), evidence: [...verdict!.evidence]}, afterSeriesMs), null);
	t.not(adoptPartVerdict(ledger, verdict!, afterSeriesMs), null);
	t.equal(adoptPartVerdict(ledger, verdict!, afterSeriesMs), null, 'it is known');
	t.same(condemnedIn(ledger), ['m/bad']);
});

t.test('all entries reach the same verdict, in whatever order and however often they receive the sightings', async t => {
	const sightings = Array.from({length: 6}, (_, index) => exitOf(`e${index}`, 1000 + (index * 700), `first bad theme${index}`, `first theme${index % 3}`)).flat();
	fc.assert(fc.property(fc.shuffledSubarray(sightings, {minLength: sightings.length}), fc.array(fc.nat({max: sightings.length - 1}), {maxLength: 20}), (order, repeated) => {
		const ledger = createPartLedger();
		for (const sighting of [...order, ...repeated.map(index => sightings[index]!)]) {
			addPartSightings(ledger, [sighting], 6000);
		}

		complete(ledger, 6000, 40, 'first theme0 theme1 theme2 theme3 theme4 theme5');
		judge(ledger, 6000);
		return ledger.exits.length === 6 && condemnedIn(ledger).join(' ') === 'm/bad';
	}), {seed: 48});
});

t.test('a flood of parts grows neither the ledger nor evicts a verdict', async t => {
	const ledger = createPartLedger();
	crashSeries(ledger, 5, () => 'first bad');
	judge(ledger, afterSeriesMs);
	for (let index = 0; index < 2000; index++) {
		addPartSightings(ledger, exitOf(`f${index}`, 5000 + index, ...Array.from({length: 5}, (_, run) => `flood${index}x${run} more${index}x${run}`)), 5000 + index);
	}

	judge(ledger, 8000);
	t.ok(isRefused(ledger, 'bad', 8000));
	t.ok(ledger.exits.length <= 128, `${ledger.exits.length} exits`);
	t.ok(ledger.parts.size <= 128 * 64 * 2, `${ledger.parts.size} parts`);
	t.equal(ledger.verdicts.size, 1);
});

type Run = {readonly request: string; readonly ids: string; endsAtMs: number; tries: number; engine: number; startsAtMs: number};

type Series = {
	readonly name: string;
	/** Engines that exit at a moment, by the time since the beginning. */
	exitsAt(timeMs: number, random: Random): readonly number[];
};

const engineCount = 8;
const stepMs = 50;
const downMs = 2000;

/** Sound requests of which most share the first part and few the last, at engines that exit for reasons of their own; returns the verdicts. */
const simulate = ({exitsAt}: Series, seed: number): string[] => {
	const random = createRandom(seed);
	const ledger = createPartLedger();
	const downUntilMs = Array.from({length: engineCount}, () => 0);
	const verdicts: string[] = [];
	let runs: Run[] = [];
	let requests = 0;
	const skewed = (count: number): number => Math.floor(count * (randomFraction(random) ** 3));
	const place = (run: Run, nowMs: number): void => {
		const up = [...downUntilMs.keys()].filter(engine => downUntilMs[engine]! <= nowMs);
		run.engine = up.length === 0 ? -1 : up[random.between(0, up.length - 1)]!;
		run.startsAtMs = nowMs;
		// Answers to requests with the most frequent first part take the longest, so that others complete before them.
		run.endsAtMs = nowMs + (run.ids.startsWith('first0 ') ? random.between(800, 2500) : random.between(100, 600));
	};

	for (let nowMs = 0; nowMs < 30_000; nowMs += stepMs) {
		for (const engine of exitsAt(nowMs, random).filter(each => downUntilMs[each]! <= nowMs)) {
			downUntilMs[engine] = nowMs + downMs;
			const broken = runs.filter(run => run.engine === engine && run.startsAtMs <= nowMs);
			addPartSightings(ledger, broken.map(({request, ids, startsAtMs}) => ({
				address: `e${engine}`, atMs: nowMs, request, parts: parts(ids), seenBy: 'entry', isFresh: isFreshRun(nowMs - startsAtMs),
			})), nowMs);
			for (const run of broken) {
				run.tries++;
				place(run, nowMs + random.between(0, 500));
			}

			runs = runs.filter(({tries}) => tries < 4);
		}

		for (const run of runs.filter(({engine, startsAtMs, endsAtMs}) => engine >= 0 && startsAtMs <= nowMs && endsAtMs <= nowMs)) {
			complete(ledger, nowMs, 1, run.ids);
		}

		runs = runs.filter(({engine, endsAtMs}) => engine === -1 || endsAtMs > nowMs);
		for (const run of runs.filter(({engine}) => engine === -1)) {
			place(run, nowMs);
		}

		for (let arrivals = random.between(0, 3); arrivals > 0; arrivals--) {
			requests++;
			const run: Run = {
				request: `r${requests}`, ids: `first${skewed(3)} theme${skewed(20)} subject${skewed(200)}`, endsAtMs: 0, tries: 0, engine: -1, startsAtMs: 0,
			};
			place(run, nowMs);
			runs.push(run);
		}

		if (nowMs % 250 === 0) {
			verdicts.push(...judgeParts(ledger, nowMs).map(({verdict}) => keyOfParts(verdict.parts)));
		}
	}

	return verdicts;
};

const all = Array.from({length: engineCount}, (_, index) => index);

const otherCauses: readonly Series[] = [
	{name: 'all engines lose power at once, twice', exitsAt: timeMs => timeMs === 5000 || timeMs === 12_000 ? all : []},
	{name: 'half of the engines lose power every four seconds', exitsAt: timeMs => timeMs % 4000 === 0 ? all.slice(0, 4) : []},
	{name: 'engines are restarted one after the other', exitsAt: timeMs => timeMs >= 5000 && timeMs % 1000 === 0 ? [(timeMs / 1000) % engineCount] : []},
	{name: 'the engines of a rack exit within a second', exitsAt: timeMs => timeMs >= 5000 && timeMs < 5800 && timeMs % 100 === 0 ? [(timeMs / 100) % engineCount] : []},
	{name: 'single engines crash at random', exitsAt: (_, random) => randomFraction(random) < 0.1 ? [random.between(0, engineCount - 1)] : []},
];

// Guards against refusing sound requests when engines exit for reasons outside of their prompts.
for (const series of otherCauses) {
	t.test(`no part is condemned when ${series.name}, in forty random series`, async t => {
		const condemned = Array.from({length: 40}, (_, seed) => simulate(series, seed + 1));
		t.same(condemned.flat(), []);
	});
}
