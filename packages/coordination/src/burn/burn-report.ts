import type {BurnAnswer} from '@bitternpaddle/protocol';
import {defaultObjective, type Objective} from '@bitternpaddle/state';
import type {Histogram} from 'hdr-histogram-js';
import {groupBy} from '../utils/group-by.js';
import {
	addBurnAnswer, addToSeries, createBurnMerge, createMergedSeries, type BurnMerge, type MergedSeries, type MergedService,
} from './burn-merge.js';
import {
	burnWindows, floorTo, hourMs, retainedTenMinutes, oldestStartMs, sumSince, tenMinutesMs, type BurnCounts, type BurnWindowName,
} from './windows.js';

/** Burn rate of one objective's error budget in one window; at a rate of 1 the budget lasts exactly three days. */
export type BurnRate = {readonly window: BurnWindowName; readonly bad: number; readonly total: number; readonly rate: number};

export type BurnAlert = 'page' | 'ticket' | 'none';

/** Burn of one objective over all windows. */
export type ObjectiveBurn = {
	readonly rates: readonly BurnRate[];
	/** Remaining share of the three-day budget in percent; negative when the budget is overspent. */
	readonly budgetLeftPercent: number;
	readonly alert: BurnAlert;
};

/** One point of the plots, covering one hour. Latencies are `null` if none were measured. */
export type BurnPoint = {
	readonly startMs: number;
	readonly counts: BurnCounts;
	readonly firstTokenP50Ms: number | null;
	readonly firstTokenP95Ms: number | null;
};

export type BurnRow = {
	readonly serviceId: string;
	/** `null` for the total over all teams of the service. */
	readonly teamId: string | null;
	readonly objective: Objective;
	readonly answeredWhole: ObjectiveBurn;
	readonly firstToken: ObjectiveBurn;
	/** Points of the total over all teams; empty for a single team. */
	readonly points: readonly BurnPoint[];
};

export type BurnReport = {
	readonly nowMs: number;
	readonly heardEntries: readonly string[];
	/** Entries that did not answer; their counts are missing from the report. */
	readonly missingEntries: readonly string[];
	readonly rows: readonly BurnRow[];
};

/**
 * An alert fires when the burn rate exceeds `rate` in both windows of a pair.
 * Of the three-day budget, a rate of 14.4 for one hour spends a fifth, and a
 * rate of 6 for six hours spends half. The pairs follow the multi-window
 * alerts of Google's Site Reliability Workbook, chapter 5.
 */
export const alertRules: ReadonlyArray<{readonly alert: BurnAlert; readonly long: BurnWindowName; readonly short: BurnWindowName; readonly rate: number}> = [
	{
		alert: 'page', long: '1h', short: '5m', rate: 14.4,
	},
	{
		alert: 'page', long: '6h', short: '1h', rate: 6,
	},
	{
		alert: 'ticket', long: '3d', short: '6h', rate: 1,
	},
];

/** Ratio of the share of bad requests to the share that the objective allows. */
export const burnRateOf = (bad: number, total: number, objectivePercent: number): number => total === 0
	? 0
	: round((bad / total) / ((100 - objectivePercent) / 100));

/** Rounds to four decimals, which hides floating-point errors. */
const round = (value: number): number => Math.round(value * 10_000) / 10_000;

const alertOf = (rates: readonly BurnRate[]): BurnAlert => {
	const byWindow = new Map(rates.map(({window, rate}) => [window, rate]));
	const rule = alertRules.find(({long, short, rate}) => byWindow.get(long)! > rate && byWindow.get(short)! > rate);
	return rule?.alert ?? 'none';
};

type ObjectiveCounts = {readonly bad: number; readonly total: number};

const objectiveBurn = (merged: MergedSeries, nowMs: number, objectivePercent: number, selectCounts: (counts: BurnCounts) => ObjectiveCounts): ObjectiveBurn => {
	const rates = burnWindows.map(({name, source, stepMs, buckets}) => {
		const {bad, total} = selectCounts(sumSince(merged[source], oldestStartMs(nowMs, stepMs, buckets)));
		return {
			window: name, bad, total, rate: burnRateOf(bad, total, objectivePercent),
		};
	});
	return {rates, budgetLeftPercent: round(100 * (1 - rates.at(-1)!.rate)), alert: alertOf(rates)};
};

const pointsOf = ({tenMinutes}: MergedSeries, histograms: ReadonlyMap<number, Histogram>, nowMs: number): BurnPoint[] => {
	const oldestMs = oldestStartMs(nowMs, tenMinutesMs, retainedTenMinutes);
	const inWindow = [...tenMinutes].filter(([startMs]) => startMs >= oldestMs).toSorted(([a], [b]) => a - b);
	const byHour = groupBy(inWindow, ([startMs]) => floorTo(startMs, hourMs));
	return [...byHour].map(([startMs, buckets]) => ({
		startMs,
		counts: sumSince(new Map(buckets), 0),
		firstTokenP50Ms: histograms.get(startMs)?.getValueAtPercentile(50) ?? null,
		firstTokenP95Ms: histograms.get(startMs)?.getValueAtPercentile(95) ?? null,
	}));
};

type RowOptions = {readonly serviceId: string; readonly teamId: string | null; readonly objective: Objective; readonly nowMs: number};

const rowOf = (merged: MergedSeries, points: readonly BurnPoint[], {serviceId, teamId, objective, nowMs}: RowOptions): BurnRow => ({
	serviceId,
	teamId,
	objective,
	answeredWhole: objectiveBurn(merged, nowMs, objective.answeredWholePercent, ({notWhole, total}) => ({bad: notWhole, total})),
	firstToken: objectiveBurn(merged, nowMs, objective.firstTokenPercent, ({slow, timed}) => ({bad: slow, total: timed})),
	points,
});

export type BurnReportOptions = {
	readonly nowMs: number;
	readonly missingEntries: readonly string[];
	/** Objectives set by operators; all other services use the default. */
	readonly objectives: ReadonlyMap<string, Objective>;
};

const rowsOfService = (serviceId: string, {teams, hours}: MergedService, {nowMs, objectives}: BurnReportOptions): BurnRow[] => {
	const objective = objectives.get(serviceId) ?? defaultObjective;
	const serviceTotal = createMergedSeries();
	for (const team of teams.values()) {
		addToSeries(serviceTotal, team);
	}

	const service = rowOf(serviceTotal, pointsOf(serviceTotal, hours, nowMs), {
		serviceId, teamId: null, objective, nowMs,
	});
	return [service, ...[...teams].toSorted(([a], [b]) => a.localeCompare(b)).map(([teamId, ofTeam]) => rowOf(ofTeam, [], {
		serviceId, teamId, objective, nowMs,
	}))];
};

/** Yields the rows of one service at a time: first the service's total, then one row per team. */
export function * burnRowsByService({services}: BurnMerge, options: BurnReportOptions): Generator<BurnRow[]> {
	for (const [serviceId, service] of [...services].toSorted(([a], [b]) => a.localeCompare(b))) {
		if (service.teams.size > 0) {
			yield rowsOfService(serviceId, service, options);
		}
	}
}

export const burnReportOf = ({entryIds}: BurnMerge, {nowMs, missingEntries}: BurnReportOptions, rows: readonly BurnRow[]): BurnReport => ({
	nowMs, heardEntries: entryIds.toSorted(), missingEntries: [...missingEntries].toSorted(), rows,
});

/** Builds the complete report in one synchronous call. */
export const buildBurnReport = ({answers, ...options}: BurnReportOptions & {readonly answers: readonly BurnAnswer[]}): BurnReport => {
	const merge = createBurnMerge();
	for (const answer of answers) {
		for (const _step of addBurnAnswer(merge, answer)) {
			// The steps need no pause, since the caller waits for the complete report.
		}
	}

	return burnReportOf(merge, options, [...burnRowsByService(merge, options)].flat());
};
