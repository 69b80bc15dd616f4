import type {BurnBucket, BurnSeries} from '@bitternpaddle/protocol';
import {addCounts} from './windows.js';

/** Series as merged over entries, or over teams. */
export type MergedSeries = {
	readonly minutes: readonly BurnBucket[];
	readonly tenMinutes: readonly BurnBucket[];
};

/** Adds up buckets with the same start. */
export const mergeSeries = (series: readonly BurnSeries[]): MergedSeries => ({
	minutes: mergeBuckets(series.map(({minutes}) => minutes)),
	tenMinutes: mergeBuckets(series.map(({tenMinutes}) => tenMinutes)),
});

const mergeBuckets = (lists: ReadonlyArray<readonly BurnBucket[]>): BurnBucket[] => {
	const merged = new Map<number, BurnBucket>();
	for (const bucket of lists.flat()) {
		const known = merged.get(bucket.startMs);
		merged.set(bucket.startMs, known === undefined ? bucket : {startMs: bucket.startMs, ...addCounts(known, bucket)});
	}

	return [...merged.values()].toSorted((a, b) => a.startMs - b.startMs);
};
