import {createRequire} from 'node:module';
import type * as HdrHistogram from 'hdr-histogram-js';

type Histogram = HdrHistogram.Histogram;

const require = createRequire(import.meta.url);

/** Only entries and reports keep histograms, and the library takes 2 MB of every process that loads it. */
export const loadHistograms = (): typeof HdrHistogram => require('hdr-histogram-js') as typeof HdrHistogram;

/** Longer waits count as this long. */
const highestMs = 600_000;

/** Two digits keep the error of a quantile under one percent in a few kilobytes. */
export const createLatencyHistogram = (): Histogram => loadHistograms().build({
	bitBucketSize: 'packed', autoResize: false, lowestDiscernibleValue: 1, highestTrackableValue: highestMs, numberOfSignificantValueDigits: 2, useWebAssembly: false,
});

export const recordLatency = (histogram: Histogram, latencyMs: number): void => {
	histogram.recordValue(Math.min(Math.max(1, Math.round(latencyMs)), highestMs));
};

export const encodeHistogram = (histogram: Histogram): string => loadHistograms().encodeIntoCompressedBase64(histogram);

/** `null` for text that is no histogram; a neighbour's mistake must not spoil the whole report. */
export const decodeHistogram = (encoded: string): Histogram | null => {
	try {
		return loadHistograms().decodeFromCompressedBase64(encoded, 32, false);
	} catch {
		return null;
	}
};

/** One histogram of all, or `null` when there is none. */
export const mergeHistograms = (encoded: readonly string[]): Histogram | null => {
	let merged: Histogram | null = null;
	for (const text of encoded) {
		const histogram = decodeHistogram(text);
		if (histogram !== null && merged === null) {
			merged = histogram;
		} else if (histogram !== null) {
			merged!.add(histogram);
		}
	}

	return merged;
};
