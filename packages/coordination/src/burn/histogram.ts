import {createRequire} from 'node:module';
import type * as HdrHistogram from 'hdr-histogram-js';

type Histogram = HdrHistogram.Histogram;

const require = createRequire(import.meta.url);

/** Loaded on demand: only entries and reports use histograms, and the library takes 2 MB in each process that loads it. */
export const loadHistograms = (): typeof HdrHistogram => require('hdr-histogram-js') as typeof HdrHistogram;

/** Longer latencies are recorded as this value. */
const maxLatencyMs = 600_000;

/** Two significant digits keep the error of a quantile below one percent in a few kilobytes. */
export const createLatencyHistogram = (): Histogram => loadHistograms().build({
	bitBucketSize: 'packed', autoResize: false, lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyMs, numberOfSignificantValueDigits: 2, useWebAssembly: false,
});

export const recordLatency = (histogram: Histogram, latencyMs: number): void => {
	histogram.recordValue(Math.min(Math.max(1, Math.round(latencyMs)), maxLatencyMs));
};

export const encodeHistogram = (histogram: Histogram): string => loadHistograms().encodeIntoCompressedBase64(histogram);

/** Returns `null` for invalid text, so that one faulty entry does not make the whole report fail. */
export const decodeHistogram = (encoded: string): Histogram | null => {
	try {
		return loadHistograms().decodeFromCompressedBase64(encoded, 32, false);
	} catch {
		return null;
	}
};
