import type {BurnAnswer} from '@bitternpaddle/protocol';
import {defaultObjective, type Objective} from '@bitternpaddle/state';
import type {Histogram} from 'hdr-histogram-js';
import {groupBy} from '../utils/group-by.js';
import {
	addBurnAnswer, addToSeries, createBurnMerge, createMergedSeries, type BurnMerge, type MergedSeries, type MergedService,
} from './burn-merge.js';
import {
	burnWindows, floorTo, hourMs, keptTenMinutes, oldestStartMs, sumSince, tenMinutesMs, type BurnCounts, type BurnWindowName,
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

const pointsOf = ({tenMinutes}: MergedSeries, histograms: ReadonlyMap<number, Histogram>, nowMs: number): BurnPoint[] => {
	const oldestMs = oldestStartMs(nowMs, tenMinutesMs, keptTenMinutes);
	const kept = [...tenMinutes].filter(([startMs]) => startMs >= oldestMs).toSorted(([a], [b]) => a - b);
	const byHour = groupBy(kept, ([startMs]) => floorTo(startMs, hourMs));
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
	/** Objectives that operators have set; other services have the default. */
	readonly objectives: ReadonlyMap<string, Objective>;
};

const rowsOfService = (serviceId: string, {teams, hours}: MergedService, {nowMs, objectives}: BurnReportOptions): BurnRow[] => {
	const objective = objectives.get(serviceId) ?? defaultObjective;
	const all = createMergedSeries();
	for (const team of teams.values()) {
		addToSeries(all, team);
	}

	const service = rowOf(all, pointsOf(all, hours, nowMs), {
		serviceId, teamId: null, objective, nowMs,
	});
	return [service, ...[...teams].toSorted(([a], [b]) => a.localeCompare(b)).map(([teamId, ofTeam]) => rowOf(ofTeam, [], {
		serviceId, teamId, objective, nowMs,
	}))];
};

/** The rows, a service at a time: one for the service, then one for each of its teams. */
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

/** The whole report at once. */
export const buildBurnReport = ({answers, ...options}: BurnReportOptions & {readonly answers: readonly BurnAnswer[]}): BurnReport => {
	const merge = createBurnMerge();
	for (const answer of answers) {
		for (const _step of addBurnAnswer(merge, answer)) {
			// Nothing else waits here.
		}
	}

	return burnReportOf(merge, options, [...burnRowsByService(merge, options)].flat());
};
