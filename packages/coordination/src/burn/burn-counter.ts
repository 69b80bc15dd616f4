import type {
	BurnAnswer, BurnBucket, BurnSeries, EncodedHistogram, LatencySeries,
} from '@bitternpaddle/protocol';
import type {Histogram} from 'hdr-histogram-js';
import {
	createLatencyHistogram, encodeHistogram, loadHistograms, recordLatency,
} from './histogram.js';
import {
	addCounts, floorTo, hourMs, retainedHours, retainedMinutes, retainedTenMinutes, minuteMs, zeroCounts, oldestStartMs, tenMinutesMs, type BurnCounts,
} from './windows.js';

/** One finished request that counts towards a service's objectives. */
export type BurnSample = {
	readonly serviceId: string;
	readonly teamId: string;
	/** When the request ended. */
	readonly atMs: number;
	/** Whether the caller received the complete response. */
	readonly isComplete: boolean;
	/** Time to the first token; `null` if it was not measured. */
	readonly firstTokenMs: number | null;
	/** Upper bound that the objective sets for `firstTokenMs`. */
	readonly firstTokenBoundMs: number;
};

type CountedSeries = {
	readonly serviceId: string;
	readonly teamId: string;
	readonly minutes: BurnBucket[];
	readonly tenMinutes: BurnBucket[];
};

/** One service's times to the first token. */
type CountedLatency = {
	/** Encoded histograms of the past hours. */
	readonly hours: EncodedHistogram[];
	/** Histogram of the current hour. */
	open: {readonly startMs: number; readonly histogram: Histogram} | null;
};

/** Request counts of one entry. Memory is bounded by `maxSeries` times the retained buckets, and by the number of services that operators created. */
export type BurnCounter = {
	readonly maxSeries: number;
	readonly series: Map<string, CountedSeries>;
	readonly latencies: Map<string, CountedLatency>;
	/** Counts by service since the entry started. */
	readonly totals: Map<string, BurnCounts>;
};

export type BurnCounterOptions = {
	/** Maximum number of pairs of service and team that have their own series. @default 256 */
	readonly maxSeries?: number;
};

/** Combined series of all teams that were first seen after `maxSeries` was reached. */
export const otherTeams = '(others)';

export const createBurnCounter = ({maxSeries = 256}: BurnCounterOptions = {}): BurnCounter => {
	// Loads the library up front; otherwise the first request would wait for it.
	loadHistograms();
	return {
		maxSeries, series: new Map(), latencies: new Map(), totals: new Map(),
	};
};

export const countSample = (counter: BurnCounter, sample: BurnSample): void => {
	const series = seriesFor(counter, sample.serviceId, sample.teamId);
	countInBucket(series.minutes, sample, minuteMs, retainedMinutes);
	countInBucket(series.tenMinutes, sample, tenMinutesMs, retainedTenMinutes);
	counter.totals.set(sample.serviceId, addCounts(counter.totals.get(sample.serviceId) ?? zeroCounts, countsFromSample(sample)));
	if (sample.firstTokenMs !== null) {
		recordLatency(currentHourHistogram(latencyFor(counter, sample.serviceId), sample.atMs), sample.firstTokenMs);
	}
};

const seriesFor = (counter: BurnCounter, serviceId: string, teamId: string): CountedSeries => {
	const key = `${serviceId}/${teamId}`;
	const existing = counter.series.get(key);
	if (existing !== undefined) {
		return existing;
	}

	// Without this bound, a script that keeps creating teams would exhaust the entry's memory.
	if (counter.series.size >= counter.maxSeries && teamId !== otherTeams) {
		return seriesFor(counter, serviceId, otherTeams);
	}

	const created: CountedSeries = {
		serviceId, teamId, minutes: [], tenMinutes: [],
	};
	counter.series.set(key, created);
	return created;
};

const countInBucket = (buckets: BurnBucket[], sample: BurnSample, stepMs: number, maxBuckets: number): void => {
	const startMs = floorTo(sample.atMs, stepMs);
	let last = buckets.at(-1);
	// If the clock was set back, samples count in the newest bucket, so that bucket starts stay ordered.
	if (last === undefined || last.startMs < startMs) {
		last = {
			startMs, total: 0, notWhole: 0, timed: 0, slow: 0,
		};
		buckets.push(last);
		dropOlderThan(buckets, oldestStartMs(sample.atMs, stepMs, maxBuckets));
	}

	Object.assign(last, addCounts(last, countsFromSample(sample)));
};

const countsFromSample = ({isComplete, firstTokenMs, firstTokenBoundMs}: BurnSample): BurnCounts => ({
	total: 1,
	notWhole: isComplete ? 0 : 1,
	timed: firstTokenMs === null ? 0 : 1,
	slow: firstTokenMs !== null && firstTokenMs > firstTokenBoundMs ? 1 : 0,
});

const dropOlderThan = (items: Array<{readonly startMs: number}>, oldestMs: number): void => {
	while (items.length > 0 && items[0]!.startMs < oldestMs) {
		items.shift();
	}
};

const latencyFor = (counter: BurnCounter, serviceId: string): CountedLatency => {
	const existing = counter.latencies.get(serviceId);
	if (existing !== undefined) {
		return existing;
	}

	const created: CountedLatency = {hours: [], open: null};
	counter.latencies.set(serviceId, created);
	return created;
};

const currentHourHistogram = (latency: CountedLatency, atMs: number): Histogram => {
	const startMs = floorTo(atMs, hourMs);
	if (latency.open !== null && latency.open.startMs >= startMs) {
		return latency.open.histogram;
	}

	if (latency.open !== null) {
		latency.hours.push({startMs: latency.open.startMs, encoded: encodeHistogram(latency.open.histogram)});
		dropOlderThan(latency.hours, oldestStartMs(atMs, hourMs, retainedHours));
	}

	latency.open = {startMs, histogram: createLatencyHistogram()};
	return latency.open.histogram;
};

/** Exports all counts that are within the windows at `nowMs`, in the format of the burn answer. */
export const exportCounts = (counter: BurnCounter, nowMs: number): Omit<BurnAnswer, 'entryId'> => ({
	series: [...counter.series.values()].map((series): BurnSeries => ({
		serviceId: series.serviceId,
		teamId: series.teamId,
		minutes: startingFrom(series.minutes, oldestStartMs(nowMs, minuteMs, retainedMinutes)),
		tenMinutes: startingFrom(series.tenMinutes, oldestStartMs(nowMs, tenMinutesMs, retainedTenMinutes)),
	})),
	latencies: [...counter.latencies].map(([serviceId, latency]): LatencySeries => ({
		serviceId, hours: startingFrom(encodedHours(latency), oldestStartMs(nowMs, hourMs, retainedHours)),
	})),
});

const startingFrom = <Item extends {readonly startMs: number}>(items: readonly Item[], oldestMs: number): Item[] => items.filter(({startMs}) => startMs >= oldestMs);

const encodedHours = ({hours, open}: CountedLatency): EncodedHistogram[] => open === null
	? [...hours]
	: [...hours, {startMs: open.startMs, encoded: encodeHistogram(open.histogram)}];
