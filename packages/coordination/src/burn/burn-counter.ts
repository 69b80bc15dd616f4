import type {
	BurnAnswer, BurnBucket, BurnSeries, EncodedHistogram, LatencySeries,
} from '@bitternpaddle/protocol';
import type {Histogram} from 'hdr-histogram-js';
import {
	createLatencyHistogram, encodeHistogram, loadHistograms, recordLatency,
} from './histogram.js';
import {
	addCounts, floorTo, hourMs, keptHours, keptMinutes, keptTenMinutes, minuteMs, noCounts, oldestStartMs, tenMinutesMs, type BurnCounts,
} from './windows.js';

/** One request that a service owed an answer. */
export type BurnSample = {
	readonly serviceId: string;
	readonly teamId: string;
	/** When the request ended. */
	readonly atMs: number;
	/** The caller got the whole answer. */
	readonly isWhole: boolean;
	/** Time to the first token; `null` where none was timed. */
	readonly firstTokenMs: number | null;
	/** The objective's bound for it. */
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
	/** Hours that are over, encoded. */
	readonly hours: EncodedHistogram[];
	open: {readonly startMs: number; readonly histogram: Histogram} | null;
};

/** What one entry has counted. Memory is bounded by `maxSeries` times the kept buckets, and by the services that operators made. */
export type BurnCounter = {
	readonly maxSeries: number;
	readonly series: Map<string, CountedSeries>;
	readonly latencies: Map<string, CountedLatency>;
	/** By service, since the entry started. */
	readonly totals: Map<string, BurnCounts>;
};

export type BurnCounterOptions = {
	/** Pairs of service and team that are counted apart. @default 256 */
	readonly maxSeries?: number;
};

/** Stands for the teams that came after the bound was reached. */
export const otherTeams = '(others)';

export const createBurnCounter = ({maxSeries = 256}: BurnCounterOptions = {}): BurnCounter => {
	// Not in the middle of the first request, which would wait for the library.
	loadHistograms();
	return {
		maxSeries, series: new Map(), latencies: new Map(), totals: new Map(),
	};
};

export const countSample = (counter: BurnCounter, sample: BurnSample): void => {
	const series = seriesFor(counter, sample.serviceId, sample.teamId);
	countInto(series.minutes, sample, minuteMs, keptMinutes);
	countInto(series.tenMinutes, sample, tenMinutesMs, keptTenMinutes);
	counter.totals.set(sample.serviceId, addCounts(counter.totals.get(sample.serviceId) ?? noCounts, countsOfSample(sample)));
	if (sample.firstTokenMs !== null) {
		recordLatency(openHour(latencyFor(counter, sample.serviceId), sample.atMs), sample.firstTokenMs);
	}
};

const seriesFor = (counter: BurnCounter, serviceId: string, teamId: string): CountedSeries => {
	const key = `${serviceId}/${teamId}`;
	const known = counter.series.get(key);
	if (known !== undefined) {
		return known;
	}

	// Without the bound, an operator's script that creates teams for ever would fill the entry's memory.
	if (counter.series.size >= counter.maxSeries && teamId !== otherTeams) {
		return seriesFor(counter, serviceId, otherTeams);
	}

	const created: CountedSeries = {
		serviceId, teamId, minutes: [], tenMinutes: [],
	};
	counter.series.set(key, created);
	return created;
};

const countInto = (buckets: BurnBucket[], sample: BurnSample, stepMs: number, kept: number): void => {
	const startMs = floorTo(sample.atMs, stepMs);
	let last = buckets.at(-1);
	// A clock that was set back counts into the newest bucket, so that starts only ever grow.
	if (last === undefined || last.startMs < startMs) {
		last = {
			startMs, total: 0, notWhole: 0, timed: 0, slow: 0,
		};
		buckets.push(last);
		dropBefore(buckets, oldestStartMs(sample.atMs, stepMs, kept));
	}

	Object.assign(last, addCounts(last, countsOfSample(sample)));
};

const countsOfSample = ({isWhole, firstTokenMs, firstTokenBoundMs}: BurnSample): BurnCounts => ({
	total: 1,
	notWhole: isWhole ? 0 : 1,
	timed: firstTokenMs === null ? 0 : 1,
	slow: firstTokenMs !== null && firstTokenMs > firstTokenBoundMs ? 1 : 0,
});

const dropBefore = (items: Array<{readonly startMs: number}>, oldestMs: number): void => {
	while (items.length > 0 && items[0]!.startMs < oldestMs) {
		items.shift();
	}
};

const latencyFor = (counter: BurnCounter, serviceId: string): CountedLatency => {
	const known = counter.latencies.get(serviceId);
	if (known !== undefined) {
		return known;
	}

	const created: CountedLatency = {hours: [], open: null};
	counter.latencies.set(serviceId, created);
	return created;
};

const openHour = (latency: CountedLatency, atMs: number): Histogram => {
	const startMs = floorTo(atMs, hourMs);
	if (latency.open !== null && latency.open.startMs >= startMs) {
		return latency.open.histogram;
	}

	if (latency.open !== null) {
		latency.hours.push({startMs: latency.open.startMs, encoded: encodeHistogram(latency.open.histogram)});
		dropBefore(latency.hours, oldestStartMs(atMs, hourMs, keptHours));
	}

	latency.open = {startMs, histogram: createLatencyHistogram()};
	return latency.open.histogram;
};

/** Everything that is still within the windows at `nowMs`, ready to be sent. */
export const exportCounts = (counter: BurnCounter, nowMs: number): Omit<BurnAnswer, 'entryId'> => ({
	series: [...counter.series.values()].map((series): BurnSeries => ({
		serviceId: series.serviceId,
		teamId: series.teamId,
		minutes: since(series.minutes, oldestStartMs(nowMs, minuteMs, keptMinutes)),
		tenMinutes: since(series.tenMinutes, oldestStartMs(nowMs, tenMinutesMs, keptTenMinutes)),
	})),
	latencies: [...counter.latencies].map(([serviceId, latency]): LatencySeries => ({
		serviceId, hours: since(hoursOf(latency), oldestStartMs(nowMs, hourMs, keptHours)),
	})),
});

const since = <Item extends {readonly startMs: number}>(items: readonly Item[], oldestMs: number): Item[] => items.filter(({startMs}) => startMs >= oldestMs);

const hoursOf = ({hours, open}: CountedLatency): EncodedHistogram[] => open === null
	? [...hours]
	: [...hours, {startMs: open.startMs, encoded: encodeHistogram(open.histogram)}];
