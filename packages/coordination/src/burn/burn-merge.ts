import type {
	BurnAnswer, BurnBucket, BurnSeries, LatencySeries,
} from '@bitternpaddle/protocol';
import type {Histogram} from 'hdr-histogram-js';
import {decodeHistogram} from './histogram.js';
import {addCounts, type BurnCounts} from './windows.js';

/** Counts by the start of their bucket. */
type Buckets = Map<number, BurnCounts>;

/** Series as merged over entries, or over teams. */
export type MergedSeries = {readonly minutes: Buckets; readonly tenMinutes: Buckets};

export type MergedService = {
	readonly teams: Map<string, MergedSeries>;
	/** Times to the first token by the start of their hour. */
	readonly hours: Map<number, Histogram>;
};

/**
 * What the entries counted, added up as their answers come. It grows with
 * services and teams and not with entries: kept until the last one has
 * answered, the answers of hundreds would be gigabytes.
 */
export type BurnMerge = {readonly entryIds: string[]; readonly services: Map<string, MergedService>};

export const createBurnMerge = (): BurnMerge => ({entryIds: [], services: new Map()});

export const createMergedSeries = (): MergedSeries => ({minutes: new Map(), tenMinutes: new Map()});

export const addToSeries = (merged: MergedSeries, added: MergedSeries): void => {
	addBuckets(merged.minutes, added.minutes);
	addBuckets(merged.tenMinutes, added.tenMinutes);
};

const addBuckets = (merged: Buckets, added: Iterable<readonly [number, BurnCounts]>): void => {
	for (const [startMs, counts] of added) {
		const known = merged.get(startMs);
		merged.set(startMs, known === undefined ? counts : addCounts(known, counts));
	}
};

const byStart = (buckets: readonly BurnBucket[]): Array<readonly [number, BurnCounts]> => buckets.map(({startMs, ...counts}) => [startMs, counts] as const);

const serviceOf = ({services}: BurnMerge, serviceId: string): MergedService => {
	const known = services.get(serviceId) ?? {teams: new Map<string, MergedSeries>(), hours: new Map<number, Histogram>()};
	services.set(serviceId, known);
	return known;
};

const addSeries = (merge: BurnMerge, {serviceId, teamId, minutes, tenMinutes}: BurnSeries): void => {
	const {teams} = serviceOf(merge, serviceId);
	const team = teams.get(teamId) ?? createMergedSeries();
	teams.set(teamId, team);
	addBuckets(team.minutes, byStart(minutes));
	addBuckets(team.tenMinutes, byStart(tenMinutes));
};

const addLatencies = (merge: BurnMerge, {serviceId, hours: added}: LatencySeries): void => {
	const {hours} = serviceOf(merge, serviceId);
	for (const {startMs, encoded} of added) {
		const histogram = decodeHistogram(encoded);
		const known = hours.get(startMs);
		if (histogram !== null && known === undefined) {
			hours.set(startMs, histogram);
		} else if (histogram !== null) {
			known!.add(histogram);
		}
	}
};

const seriesInAStep = 16;

/**
 * Adds one entry's answer in short steps: whoever serves requests on the same
 * thread goes on with them at each `yield`.
 */
export function * addBurnAnswer(merge: BurnMerge, {entryId, series, latencies}: BurnAnswer): Generator<void> {
	merge.entryIds.push(entryId);
	for (const [index, one] of series.entries()) {
		addSeries(merge, one);
		if (index % seriesInAStep === seriesInAStep - 1) {
			yield;
		}
	}

	for (const one of latencies) {
		addLatencies(merge, one);
		yield;
	}
}
