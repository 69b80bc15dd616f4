import {nextStep} from '@bitternpaddle/coordination';
import t from 'tap';
import {
	simulateScenario, productPolicy, resolveScenario, type EntryPolicy, type Result, type Scenario, type ScenarioName,
} from '@bitternpaddle/model';

const seeds = [1, 2, 3];

const scenarioOf = (name: ScenarioName, fields: Partial<Scenario> = {}): Scenario => ({
	...resolveScenario(name, {engineCount: 13, entryCount: 8, profile: 'batch16'}), ...fields,
});

/** Mean results over the seeds. */
const meanResult = (scenario: Scenario, policy?: EntryPolicy): Pick<Result, 'inTime' | 'late' | 'refused' | 'refusalsPerCaller' | 'heldInVainMs'> => {
	const results = seeds.map(seed => simulateScenario({scenario, seed, policy}).result);
	const mean = (field: 'inTime' | 'late' | 'refused' | 'refusalsPerCaller' | 'heldInVainMs'): number => results.reduce((sum, result) => sum + result[field], 0) / results.length;
	return {
		inTime: mean('inTime'), late: mean('late'), refused: mean('refused'), refusalsPerCaller: mean('refusalsPerCaller'), heldInVainMs: mean('heldInVainMs'),
	};
};

const format = (results: Record<string, object>): string => JSON.stringify(results, (_, value: unknown) => typeof value === 'number' ? Number(value.toFixed(3)) : value);

/** Each entry places requests as if it were the only entry. */
const ignoringOtherEntries: EntryPolicy = {...productPolicy, step: (demand, surroundings, request) => nextStep(demand, {...surroundings, entryCount: 1}, request)};
/** Caller retries are treated like first attempts. */
const retriesAsFirstAttempts: EntryPolicy = {...productPolicy, step: (demand, surroundings, request) => nextStep(demand, surroundings, {...request, isLastTry: false})};
t.test('the same seed gives the same run, down to each request', async t => {
	const scenario = scenarioOf('burst', {durationS: 10});
	t.same(simulateScenario({scenario, seed: 5}), simulateScenario({scenario, seed: 5}));
	t.notSame(simulateScenario({scenario, seed: 5}).result, simulateScenario({scenario, seed: 6}).result);
});

t.test('every request of a run has exactly one outcome', async t => {
	for (const name of ['steady', 'overload-1.6', 'restart', 'loss', 'ramp'] as const) {
		const {inTime, late, refused, lost} = simulateScenario({scenario: scenarioOf(name), seed: 1}).result;
		t.ok(Math.abs(inTime + late + refused + lost - 1) < 1e-9, name);
	}
});

// Guards against a thundering herd: engines reload in turn near full load. Each returns
// empty, all entries see that in the same report, and each sends it the requests of the
// next 100 ms. The last of a dozen prompts then starts half a second late, while the
// other engines have spare slots again.
t.test('an engine that returns empty does not get the requests of all entries', async t => {
	const scenario = scenarioOf('wave', {load: [{fromS: 0, factor: 0.95}]});
	const [before, after] = [meanResult(scenario, ignoringOtherEntries), meanResult(scenario)];
	t.comment(format({before, after}));
	t.ok(after.inTime > before.inTime + 0.05, 'more callers are answered in time');
	t.ok(after.late < before.late * 0.6, 'and far fewer late');
});

t.test('in a steady state, accounting for the other entries costs almost nothing', async t => {
	const scenario = scenarioOf('steady');
	t.ok(meanResult(scenario).inTime > meanResult(scenario, ignoringOtherEntries).inTime - 0.005);
});

// Requests arrive at 1.5 times the rate that the engines sustain, and a refused caller retries
// once. If retries were admitted like first attempts, they would be late anyway and take the
// slots of first attempts, which would be refused, retry and be late in turn.
t.test('under sustained overload first attempts are not refused in favour of retries', async t => {
	const scenario = scenarioOf('overload-1.3', {load: [{fromS: 0, factor: 1.5}]});
	const [before, after] = [meanResult(scenario, retriesAsFirstAttempts), meanResult(scenario)];
	t.comment(format({before, after}));
	t.ok(after.inTime > before.inTime + 0.05, 'more callers are answered in time');
	t.ok(after.late < before.late * 0.65, 'and far fewer late');
});

t.test('requests that are refused in the end have waited only briefly', async t => {
	for (const name of ['overload-1.3', 'burst'] as const) {
		const {heldInVainMs} = meanResult(scenarioOf(name));
		t.ok(heldInVainMs < 200, `${name}: ${heldInVainMs.toFixed(0)} ms per caller`);
	}
});

const ranked = (name: ScenarioName, fields: Partial<Scenario> = {}): Scenario => ({
	...resolveScenario(name, {
		engineCount: 28, entryCount: 19, profile: 'batch12', work: 'ranks',
	}), ...fields,
});

/** Priorities have no effect on admission. */
const withoutRoom: EntryPolicy = {...productPolicy, step: (demand, context, request) => nextStep(demand, {...context, room: null}, request)};

type KindShares = Readonly<Record<'inTime' | 'served', number>>;

/** Shares of the callers of each kind that are answered in time, and at all. */
const sharesOf = (scenario: Scenario, {policy, seeds: played = seeds}: {policy?: EntryPolicy; seeds?: readonly number[]} = {}): Record<string, KindShares> => {
	const tallies = played.map(seed => simulateScenario({scenario, seed, policy}).tally);
	return Object.fromEntries([...tallies[0]!.byClass.keys()].map(kind => {
		const sum = (field: 'asked' | 'inTime' | 'late'): number => tallies.reduce((total, {byClass}) => total + byClass.get(kind)![field], 0);
		return [kind, {inTime: sum('inTime') / sum('asked'), served: (sum('inTime') + sum('late')) / sum('asked')}];
	}));
};

// Guards against a burst that takes the capacity of more urgent requests: the least
// urgent ones are admitted to queues in which the most urgent would be late.
t.test('a burst of the least or the most urgent kind leaves the most urgent kind its capacity', async t => {
	for (const entryCount of [1, 8, 19]) {
		for (const name of ['burst-tolerant', 'burst-urgent'] as const) {
			const scenario = ranked(name, {entryCount});
			// Several seeds only for the largest deployment, to bound the duration of the test.
			const played = entryCount === 19 ? seeds : [1];
			const before = sharesOf(scenario, {policy: withoutRoom, seeds: played}).urgent!;
			const {urgent, tolerant} = sharesOf(scenario, {seeds: played});
			t.ok(urgent!.inTime > 0.88 && urgent!.inTime > before.inTime && urgent!.served > 0.985, `${name}, ${entryCount} entries: ${format({before, after: urgent!})}`);
			t.ok(tolerant!.served > 0.5, `the least urgent kind is not starved: ${format({tolerant: tolerant!})}`);
		}
	}
});

// Guards against limits on an expected wait that entries don't know: old reports, or none
// at one entry, must not cost the most urgent kind more than they did without limits.
t.test('with old reports, and with an entry without reports, the most urgent kind is served first', async t => {
	for (const fields of [{reportAgeMs: 300}, {reportAgeMs: 600}, {unreportedEntryCount: 1}]) {
		const scenario = ranked('burst-tolerant', {entryCount: 8, ...fields});
		const before = sharesOf(scenario, {policy: withoutRoom, seeds: [1]}).urgent!;
		const after = sharesOf(scenario, {seeds: [1]});
		t.ok(after.urgent!.inTime > before.inTime && after.urgent!.served >= after.tolerant!.served, `${JSON.stringify(fields)}: ${format({before, ...after})}`);
	}
});

t.test('without overload, requests of the least urgent kind are not refused for others', async t => {
	t.ok(sharesOf(ranked('steady'), {seeds: [1]}).tolerant!.inTime > 0.99);
});
