import type {
	BurnAnswer, BurnBucket, BurnSeries, LatencySeries,
} from '@bitternpaddle/protocol';
import type {Histogram} from 'hdr-histogram-js';
import {decodeHistogram} from './histogram.js';
import {addCounts, type BurnCounts} from './windows.js';

/** Counts keyed by the start time of their bucket. */
type Buckets = Map<number, BurnCounts>;

/** Series merged over entries or over teams. */
export type MergedSeries = {readonly minutes: Buckets; readonly tenMinutes: Buckets};

export type MergedService = {
	readonly teams: Map<string, MergedSeries>;
	/** Histograms of the time to the first token, keyed by the start of the hour. */
	readonly hours: Map<number, Histogram>;
};

/**
 * Sums of the counts of all entries. Each answer is added as it arrives, so
 * the size grows with services and teams and not with entries: buffering the
 * answers of hundreds of entries until the last one arrives would take gigabytes.
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
		const existing = merged.get(startMs);
		merged.set(startMs, existing === undefined ? counts : addCounts(existing, counts));
	}
};

const toStartPairs = (buckets: readonly BurnBucket[]): Array<readonly [number, BurnCounts]> => buckets.map(({startMs, ...counts}) => [startMs, counts] as const);

const getOrCreateService = ({services}: BurnMerge, serviceId: string): MergedService => {
	const existing = services.get(serviceId) ?? {teams: new Map<string, MergedSeries>(), hours: new Map<number, Histogram>()};
	services.set(serviceId, existing);
	return existing;
};

const addSeries = (merge: BurnMerge, {serviceId, teamId, minutes, tenMinutes}: BurnSeries): void => {
	const {teams} = getOrCreateService(merge, serviceId);
	const team = teams.get(teamId) ?? createMergedSeries();
	teams.set(teamId, team);
	addBuckets(team.minutes, toStartPairs(minutes));
	addBuckets(team.tenMinutes, toStartPairs(tenMinutes));
};

const addLatencies = (merge: BurnMerge, {serviceId, hours: added}: LatencySeries): void => {
	const {hours} = getOrCreateService(merge, serviceId);
	for (const {startMs, encoded} of added) {
		const histogram = decodeHistogram(encoded);
		const existing = hours.get(startMs);
		if (histogram !== null && existing === undefined) {
			hours.set(startMs, histogram);
		} else if (histogram !== null) {
			existing!.add(histogram);
		}
	}
};

const seriesPerStep = 16;

/**
 * Adds one entry's answer in short steps. The caller can process other requests
 * on the same thread at each `yield`.
 */
export function * addBurnAnswer(merge: BurnMerge, {entryId, series, latencies}: BurnAnswer): Generator<void> {
	merge.entryIds.push(entryId);
	for (const [index, item] of series.entries()) {
		addSeries(merge, item);
		if (index % seriesPerStep === seriesPerStep - 1) {
			yield;
		}
	}

	for (const item of latencies) {
		addLatencies(merge, item);
		yield;
	}
}
