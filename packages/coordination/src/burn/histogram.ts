import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

/** Longer waits count as this long. */
const highestMs = 600_000;

/** Two digits keep the error of a quantile under one percent in a few kilobytes. */
export const createLatencyHistogram = (): Histogram => build({
	bitBucketSize: 'packed', autoResize: false, lowestDiscernibleValue: 1, highestTrackableValue: highestMs, numberOfSignificantValueDigits: 2, useWebAssembly: false,
});

export const recordLatency = (histogram: Histogram, latencyMs: number): void => {
	histogram.recordValue(Math.min(Math.max(1, Math.round(latencyMs)), highestMs));
};

export const encodeHistogram = (histogram: Histogram): string => encodeIntoCompressedBase64(histogram);

/** `null` for text that is no histogram; a neighbour's mistake must not spoil the whole report. */
export const decodeHistogram = (encoded: string): Histogram | null => {
	try {
		return decodeFromCompressedBase64(encoded, 32, false);
	} catch {
		return null;
	}
};
