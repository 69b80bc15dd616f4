import type {BurnBucket} from '@bitternpaddle/protocol';

export const minuteMs = 60_000;
export const tenMinutesMs = 10 * minuteMs;
export const hourMs = 60 * minuteMs;

/** Number of retained buckets of each length; they cover the windows that are read from them. */
export const retainedMinutes = 60;
export const retainedTenMinutes = 432;
export const retainedHours = 72;

export type BurnWindowName = '5m' | '1h' | '6h' | '3d';

export type BurnWindow = {
	readonly name: BurnWindowName;
	/** Series of buckets that the window is read from. */
	readonly source: 'minutes' | 'tenMinutes';
	/** Length of a bucket. */
	readonly stepMs: number;
	/** Number of buckets in the window, including the current one. */
	readonly buckets: number;
};

/** In an alert's pair, the long window shows that a burn is significant and the short one that it is still going on. */
export const burnWindows: readonly BurnWindow[] = [
	{
		name: '5m', source: 'minutes', stepMs: minuteMs, buckets: 5,
	},
	{
		name: '1h', source: 'minutes', stepMs: minuteMs, buckets: retainedMinutes,
	},
	{
		name: '6h', source: 'tenMinutes', stepMs: tenMinutesMs, buckets: 36,
	},
	{
		name: '3d', source: 'tenMinutes', stepMs: tenMinutesMs, buckets: retainedTenMinutes,
	},
];

export const floorTo = (timeMs: number, stepMs: number): number => Math.floor(timeMs / stepMs) * stepMs;

/** Start of the oldest of `buckets` consecutive buckets, the last of which is the current one. */
export const oldestStartMs = (nowMs: number, stepMs: number, buckets: number): number => floorTo(nowMs, stepMs) - ((buckets - 1) * stepMs);

export type BurnCounts = Omit<BurnBucket, 'startMs'>;

export const addCounts = (left: BurnCounts, right: BurnCounts): BurnCounts => ({
	total: left.total + right.total,
	notWhole: left.notWhole + right.notWhole,
	timed: left.timed + right.timed,
	slow: left.slow + right.slow,
});

export const zeroCounts: BurnCounts = {
	total: 0, notWhole: 0, timed: 0, slow: 0,
};

/** Sums the buckets that start at or after `fromMs`. Buckets in the future come from entries whose clock is ahead; they count too. */
export const sumSince = (buckets: ReadonlyMap<number, BurnCounts>, fromMs: number): BurnCounts => {
	let sum = zeroCounts;
	for (const [startMs, counts] of buckets) {
		if (startMs >= fromMs) {
			sum = addCounts(sum, counts);
		}
	}

	return sum;
};
