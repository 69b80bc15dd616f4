import type {BurnAnswer, BurnSeries, EncodedHistogram} from '@bitternpaddle/protocol';
import {defaultObjective, type Objective} from '@bitternpaddle/state';
import {groupBy} from '../utils/group-by.js';
import {mergeHistograms} from './histogram.js';
import {mergeSeries, type MergedSeries} from './merge-series.js';
import {
	burnWindows, hourMs, oldestStartMs, sumSince, tenMinutesMs, type BurnCounts, type BurnWindowName,
} from './windows.js';

/** How fast one objective's budget burns in one window; 1 uses it up in exactly the three days. */
export type BurnRate = {readonly window: BurnWindowName; readonly bad: number; readonly total: number; readonly rate: number};

export type BurnAlert = 'page' | 'ticket' | 'none';

/** One objective over all windows. */
export type ObjectiveBurn = {
	readonly rates: readonly BurnRate[];
	/** Share of the three days' budget that is left, in percent; below 0 when it is overspent. */
	readonly budgetLeftPercent: number;
	readonly alert: BurnAlert;
};

/** One point of the plots: an hour. Times are `null` where nothing was timed. */
export type BurnPoint = {
	readonly startMs: number;
	readonly counts: BurnCounts;
	readonly firstTokenP50Ms: number | null;
	readonly firstTokenP95Ms: number | null;
};

export type BurnRow = {
	readonly serviceId: string;
	/** `null` for the service over all teams. */
	readonly teamId: string | null;
	readonly objective: Objective;
	readonly answeredWhole: ObjectiveBurn;
	readonly firstToken: ObjectiveBurn;
	/** For a service over all teams; none for a team. */
	readonly points: readonly BurnPoint[];
};

export type BurnReport = {
	readonly nowMs: number;
	readonly heardEntries: readonly string[];
	/** Entries that did not answer; what they counted is not in the report. */
	readonly missingEntries: readonly string[];
	readonly rows: readonly BurnRow[];
};

/**
 * Both windows of a pair must burn faster than the rate. Over three days a
 * rate of 14.4 in one hour spends a fifth of the budget, and one of 6 in six
 * hours half of it. The pairs follow the multi-window alerts of Google's Site
 * Reliability Workbook, chapter 5.
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

/** Bad requests as a multiple of those that the objective allows. */
export const burnRateOf = (bad: number, total: number, objectivePercent: number): number => total === 0
	? 0
	: round((bad / total) / ((100 - objectivePercent) / 100));

/** Four decimals: beyond them lies only the noise of binary fractions. */
const round = (value: number): number => Math.round(value * 10_000) / 10_000;

const alertOf = (rates: readonly BurnRate[]): BurnAlert => {
	const byWindow = new Map(rates.map(({window, rate}) => [window, rate]));
	const rule = alertRules.find(({long, short, rate}) => byWindow.get(long)! > rate && byWindow.get(short)! > rate);
	return rule?.alert ?? 'none';
};

type ObjectiveCounts = {readonly bad: number; readonly total: number};

const objectiveBurn = (merged: MergedSeries, nowMs: number, objectivePercent: number, pick: (counts: BurnCounts) => ObjectiveCounts): ObjectiveBurn => {
	const rates = burnWindows.map(({name, source, stepMs, buckets}) => {
		const {bad, total} = pick(sumSince(merged[source], oldestStartMs(nowMs, stepMs, buckets)));
		return {
			window: name, bad, total, rate: burnRateOf(bad, total, objectivePercent),
		};
	});
	return {rates, budgetLeftPercent: round(100 * (1 - rates.at(-1)!.rate)), alert: alertOf(rates)};
};

const pointsOf = ({tenMinutes}: MergedSeries, hours: readonly EncodedHistogram[], nowMs: number): BurnPoint[] => {
	const oldestMs = oldestStartMs(nowMs, tenMinutesMs, 432);
	const byHour = groupBy(tenMinutes.filter(({startMs}) => startMs >= oldestMs), ({startMs}) => startMs - (startMs % hourMs));
	const histograms = groupBy(hours, ({startMs}) => startMs);
	return [...byHour].map(([startMs, buckets]) => {
		const merged = mergeHistograms((histograms.get(startMs) ?? []).map(({encoded}) => encoded));
		return {
			startMs,
			counts: sumSince(buckets, 0),
			firstTokenP50Ms: merged?.getValueAtPercentile(50) ?? null,
			firstTokenP95Ms: merged?.getValueAtPercentile(95) ?? null,
		};
	});
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

export type BuildBurnReportOptions = {
	readonly nowMs: number;
	/** What each entry counted. */
	readonly answers: readonly BurnAnswer[];
	readonly missingEntries: readonly string[];
	/** Objectives that operators have set; other services have the default. */
	readonly objectives: ReadonlyMap<string, Objective>;
};

const rowsOfService = (serviceId: string, series: readonly BurnSeries[], {nowMs, answers, objectives}: BuildBurnReportOptions): BurnRow[] => {
	const objective = objectives.get(serviceId) ?? defaultObjective;
	const hours = answers.flatMap(({latencies}) => latencies.filter(latency => latency.serviceId === serviceId)).flatMap(latency => latency.hours);
	const merged = mergeSeries(series);
	const service = rowOf(merged, pointsOf(merged, hours, nowMs), {
		serviceId, teamId: null, objective, nowMs,
	});
	const teams = [...groupBy(series, ({teamId}) => teamId)].toSorted(([a], [b]) => a.localeCompare(b));
	return [service, ...teams.map(([teamId, ofTeam]) => rowOf(mergeSeries(ofTeam), [], {
		serviceId, teamId, objective, nowMs,
	}))];
};

/**
 * Merges what the entries counted, a service at a time: one row for the
 * service, then one for each of its teams. Whoever serves requests on the same
 * thread goes on with them between two services; the merge of all at once
 * would hold them up for as long as it takes.
 */
export function * burnRowsByService(options: BuildBurnReportOptions): Generator<BurnRow[]> {
	const services = groupBy(options.answers.flatMap(({series}) => series), ({serviceId}) => serviceId);
	for (const [serviceId, series] of [...services].toSorted(([a], [b]) => a.localeCompare(b))) {
		yield rowsOfService(serviceId, series, options);
	}
}

export const burnReportOf = ({nowMs, answers, missingEntries}: BuildBurnReportOptions, rows: readonly BurnRow[]): BurnReport => ({
	nowMs, heardEntries: answers.map(({entryId}) => entryId).toSorted(), missingEntries: [...missingEntries].toSorted(), rows,
});

/** The whole report at once. */
export const buildBurnReport = (options: BuildBurnReportOptions): BurnReport => burnReportOf(options, [...burnRowsByService(options)].flat());
