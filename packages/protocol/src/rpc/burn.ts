import * as z from 'zod';

const count = z.number().int().nonnegative();

/** What was counted in one stretch of time. Starts lie on multiples of its length, so that entries' buckets add up. */
export const burnBucketSchema = z.object({
	startMs: count,
	/** Requests that the service owed an answer. */
	total: count,
	/** Those of them that got no whole answer. */
	notWhole: count,
	/** Answers whose first token was timed. */
	timed: count,
	/** Those of them over the objective's bound. */
	slow: count,
});
export type BurnBucket = z.infer<typeof burnBucketSchema>;

/** Times to the first token in one hour, as a compressed hdr histogram of milliseconds. */
export const encodedHistogramSchema = z.object({startMs: count, encoded: z.string().max(65_536)});
export type EncodedHistogram = z.infer<typeof encodedHistogramSchema>;

/** What one entry counted for one service and team. */
export const burnSeriesSchema = z.object({
	serviceId: z.string(),
	teamId: z.string(),
	/** Buckets of a minute, for one hour. */
	minutes: z.array(burnBucketSchema).max(60),
	/** Buckets of ten minutes, for three days. */
	tenMinutes: z.array(burnBucketSchema).max(432),
});
export type BurnSeries = z.infer<typeof burnSeriesSchema>;

/** Times to the first token of one service over all its teams. */
export const latencySeriesSchema = z.object({serviceId: z.string(), hours: z.array(encodedHistogramSchema).max(72)});
export type LatencySeries = z.infer<typeof latencySeriesSchema>;

export const burnAnswerSchema = z.object({entryId: z.string(), series: z.array(burnSeriesSchema), latencies: z.array(latencySeriesSchema)});
export type BurnAnswer = z.infer<typeof burnAnswerSchema>;

/** Entries ask one another on behalf of an operator, whose token each checks for itself. */
export const entryBurnParametersSchema = z.object({token: z.string(), nowMs: count});
