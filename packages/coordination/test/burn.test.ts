import {burnAnswerSchema} from '@bitternpaddle/protocol';
import type {Objective} from '@bitternpaddle/state';
import t from 'tap';
import {
	buildBurnReport, countSample, createBurnCounter, exportCounts, otherTeams, type BurnCounter, type BurnReport, type BurnRow,
} from '@bitternpaddle/coordination';

const minuteMs = 60_000;
const tenMinutesMs = 10 * minuteMs;
const nowMs = Date.UTC(2026, 5, 4, 11, 59, 30);
const endMs = Date.UTC(2026, 5, 4, 12);
const objective: Objective = {answeredWholePercent: 99, firstTokenPercent: 95, firstTokenMs: 1000};

type Batch = {readonly atMs: number; readonly notWhole: number; readonly slow: number};

/** Counts 100 requests that end at the same time, distributed round-robin over the counters. */
const countBatch = (counters: readonly BurnCounter[], {atMs, notWhole, slow}: Batch): void => {
	for (let index = 0; index < 100; index++) {
		countSample(counters[index % counters.length]!, {
			serviceId: 'bp-writers', teamId: index % 4 < 2 ? 'marshals' : 'fry-stands', atMs, isComplete: index >= notWhole,
			firstTokenMs: index < slow ? 1500 : 200, firstTokenBoundMs: objective.firstTokenMs,
		});
	}
};

const buildReport = (counters: readonly BurnCounter[], atMs = nowMs): BurnReport => buildBurnReport({
	nowMs: atMs, missingEntries: [], objectives: new Map([['bp-writers', objective]]),
	// Parsed with the protocol schema, as answers between two entries are.
	answers: counters.map((counter, index) => burnAnswerSchema.parse(structuredClone({entryId: `entry-${index + 1}`, ...exportCounts(counter, atMs)}))),
});

const ratesByWindow = (row: BurnRow, name: 'answeredWhole' | 'firstToken') => Object.fromEntries(row[name].rates.map(({window, bad, total, rate}) => [window, [bad, total, rate]]));

// Calculated by hand. For three days, 100 requests end in the last minute of
// every ten: 432 batches, 43,200 requests; 100 of them in the last 5 minutes,
// 600 in the last hour, 3,600 in the last 6. Objective: 99% complete (1% may fail).
//   Incomplete: 20 two days ago, 10 at 08:09, 6 at 11:09, 3 at 11:59.
//     5m:  3 / 100    = 3%         -> 3
//     1h:  9 / 600    = 1.5%       -> 1.5
//     6h: 19 / 3,600  = 0.527777%  -> 0.5278
//     3d: 39 / 43,200 = 0.0902777% -> 0.0903, so 90.97% of the budget remains
//   First token, 95% within 1 s (5% may be late): in the last hour, 20 of each
//   batch of 100 take 1.5 s.
//     5m:  20 / 100    = 20%      -> 4
//     1h: 120 / 600    = 20%      -> 4
//     6h: 120 / 3,600  = 3.3333%  -> 0.6667
//     3d: 120 / 43,200 = 0.27777% -> 0.0556, so 94.44% remains
t.test('matches the burn rates calculated by hand for a trace counted by three entries', async t => {
	const counters = [createBurnCounter(), createBurnCounter(), createBurnCounter()];
	const notWhole = new Map([[endMs - (48 * 60 * minuteMs) - minuteMs, 20], [Date.UTC(2026, 5, 4, 8, 9), 10], [Date.UTC(2026, 5, 4, 11, 9), 6], [Date.UTC(2026, 5, 4, 11, 59), 3]]);
	for (let index = 431; index >= 0; index--) {
		const atMs = endMs - (index * tenMinutesMs) - minuteMs;
		countBatch(counters, {atMs, notWhole: notWhole.get(atMs) ?? 0, slow: index < 6 ? 20 : 0});
	}

	const report = buildReport(counters);
	const [row] = report.rows;
	t.equal(row!.teamId, null);
	t.same(ratesByWindow(row!, 'answeredWhole'), {
		'5m': [3, 100, 3], '1h': [9, 600, 1.5], '6h': [19, 3600, 0.5278], '3d': [39, 43_200, 0.0903],
	});
	t.equal(row!.answeredWhole.budgetLeftPercent.toFixed(2), '90.97');
	t.same(ratesByWindow(row!, 'firstToken'), {
		'5m': [20, 100, 4], '1h': [120, 600, 4], '6h': [120, 3600, 0.6667], '3d': [120, 43_200, 0.0556],
	});
	t.equal(row!.firstToken.budgetLeftPercent.toFixed(2), '94.44');
	t.equal(row!.answeredWhole.alert, 'none');
	t.equal(row!.points.length, 72, 'one point per hour');
	t.match(row!.points.at(-1), {
		counts: {
			total: 600, notWhole: 9, timed: 600, slow: 120,
		}, firstTokenP50Ms: 200,
	});
	t.ok(Math.abs(row!.points.at(-1)!.firstTokenP95Ms! - 1500) <= 15, 'the merged histograms show the 20 slow requests of 100 within one percent');
	t.equal(row!.points.at(-2)!.firstTokenP95Ms, 200);
	const teams = report.rows.slice(1);
	t.same(teams.map(({teamId}) => teamId), ['fry-stands', 'marshals']);
	t.equal(teams.reduce((sum, team) => sum + team.answeredWhole.rates[3]!.total, 0), 43_200, 'the teams add up to the service');
});

// For one hour a fifth of the requests get no complete response: 20% / 1% = 20
// times the allowed rate in the last 5 minutes and the last hour, which pages.
// 40 minutes without failures later, two of the six bad batches remain in the
// hour: 40 / 600 = 6.6667, and 120 / 1,000 = 12 in six hours still page. After
// 100 minutes without failures the hour is clean and the six hours show
// 120 / 1,600 = 7.5: no page, but a ticket reports that the budget is overspent.
t.test('a page requires a high burn rate in both the long and the short window', async t => {
	const counter = createBurnCounter();
	for (let index = 5; index >= 0; index--) {
		countBatch([counter], {atMs: endMs - (index * tenMinutesMs) - minuteMs, notWhole: 20, slow: 0});
	}

	t.equal(buildReport([counter]).rows[0]!.answeredWhole.alert, 'page');
	for (let index = 1; index <= 4; index++) {
		countBatch([counter], {atMs: endMs + (index * tenMinutesMs) - minuteMs, notWhole: 0, slow: 0});
	}

	const quiet = buildReport([counter], nowMs + (4 * tenMinutesMs)).rows[0]!.answeredWhole;
	t.same(quiet.rates.map(({window, rate}) => [window, rate]), [['5m', 0], ['1h', 6.6667], ['6h', 12], ['3d', 12]]);
	t.equal(quiet.alert, 'page', 'the rates of 6h and 1h still exceed 6');
	for (let index = 5; index <= 10; index++) {
		countBatch([counter], {atMs: endMs + (index * tenMinutesMs) - minuteMs, notWhole: 0, slow: 0});
	}

	const later = buildReport([counter], nowMs + (10 * tenMinutesMs)).rows[0]!.answeredWhole;
	t.same(later.rates.map(({window, rate}) => [window, rate]), [['5m', 0], ['1h', 0], ['6h', 7.5], ['3d', 7.5]]);
	t.equal(later.alert, 'ticket', 'the burn has stopped, but the budget is overspent');
	t.equal(later.budgetLeftPercent, -650);
});

// Without a bound, the entry's memory would grow with the number of teams and with time.
t.test('limits the number of series and of retained buckets', async t => {
	const counter = createBurnCounter({maxSeries: 3});
	for (let team = 0; team < 50; team++) {
		countSample(counter, {
			serviceId: 's', teamId: `team-${team}`, atMs: nowMs, isComplete: true, firstTokenMs: 5, firstTokenBoundMs: 1000,
		});
	}

	t.same([...counter.series.values()].map(({teamId}) => teamId), ['team-0', 'team-1', 'team-2', otherTeams]);
	for (let minute = 0; minute < 10 * 24 * 60; minute++) {
		countSample(counter, {
			serviceId: 's', teamId: 'team-0', atMs: nowMs + (minute * minuteMs), isComplete: true, firstTokenMs: minute, firstTokenBoundMs: 1000,
		});
	}

	const lastMs = nowMs + (10 * 24 * 60 * minuteMs) - minuteMs;
	const [first, second] = exportCounts(counter, lastMs).series;
	t.match(first, {minutes: {length: 60}, tenMinutes: {length: 432}});
	t.match(second, {minutes: {length: 0}, tenMinutes: {length: 0}}, 'buckets outside the windows are not exported');
	t.equal(exportCounts(counter, lastMs).latencies[0]!.hours.length, 72);
	t.ok(counter.latencies.get('s')!.hours.length <= 72);
	t.ok(counter.series.get('s/team-0')!.minutes.length <= 61);
});
