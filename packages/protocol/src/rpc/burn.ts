import * as z from 'zod';

const count = z.number().int().nonnegative();

/** Counts of one time interval. Intervals start at multiples of their length, so that the buckets of different entries can be added. */
export const burnBucketSchema = z.object({
	startMs: count,
	/** Requests that the service had to answer. */
	total: count,
	/** Of these, the requests without a complete answer. */
	notWhole: count,
	/** Answers with a measured time to the first token. */
	timed: count,
	/** Of these, the answers that exceeded the objective's bound. */
	slow: count,
});
export type BurnBucket = z.infer<typeof burnBucketSchema>;

/** Times to the first token in one hour, as a compressed hdr histogram of milliseconds. */
export const encodedHistogramSchema = z.object({startMs: count, encoded: z.string().max(65_536)});
export type EncodedHistogram = z.infer<typeof encodedHistogramSchema>;

/** Counts of one entry for one service and team. */
export const burnSeriesSchema = z.object({
	serviceId: z.string(),
	teamId: z.string(),
	/** One-minute buckets of one hour. */
	minutes: z.array(burnBucketSchema).max(60),
	/** Ten-minute buckets of three days. */
	tenMinutes: z.array(burnBucketSchema).max(432),
});
export type BurnSeries = z.infer<typeof burnSeriesSchema>;

/** Times to the first token of one service, over all teams. */
export const latencySeriesSchema = z.object({serviceId: z.string(), hours: z.array(encodedHistogramSchema).max(72)});
export type LatencySeries = z.infer<typeof latencySeriesSchema>;

export const burnAnswerSchema = z.object({entryId: z.string(), series: z.array(burnSeriesSchema), latencies: z.array(latencySeriesSchema)});
export type BurnAnswer = z.infer<typeof burnAnswerSchema>;

/** An entry's request to another on behalf of an operator; the receiver checks the operator's token itself. */
export const entryBurnParametersSchema = z.object({token: z.string(), nowMs: count});
