import type {BurnBucket} from '@bitternpaddle/protocol';

export const minuteMs = 60_000;
export const tenMinutesMs = 10 * minuteMs;
export const hourMs = 60 * minuteMs;

/** How many buckets of each length are kept; they cover the windows that are read from them. */
export const keptMinutes = 60;
export const keptTenMinutes = 432;
export const keptHours = 72;

export type BurnWindowName = '5m' | '1h' | '6h' | '3d';

export type BurnWindow = {
	readonly name: BurnWindowName;
	/** Which buckets the window is read from. */
	readonly source: 'minutes' | 'tenMinutes';
	/** Length of a bucket. */
	readonly stepMs: number;
	/** Buckets in the window, the running one included. */
	readonly buckets: number;
};

/** A long window shows that a burn matters; the short one beside it, that it still goes on. */
export const burnWindows: readonly BurnWindow[] = [
	{
		name: '5m', source: 'minutes', stepMs: minuteMs, buckets: 5,
	},
	{
		name: '1h', source: 'minutes', stepMs: minuteMs, buckets: keptMinutes,
	},
	{
		name: '6h', source: 'tenMinutes', stepMs: tenMinutesMs, buckets: 36,
	},
	{
		name: '3d', source: 'tenMinutes', stepMs: tenMinutesMs, buckets: keptTenMinutes,
	},
];

export const floorTo = (timeMs: number, stepMs: number): number => Math.floor(timeMs / stepMs) * stepMs;

/** Start of the oldest of `buckets` buckets that end with the running one. */
export const oldestStartMs = (nowMs: number, stepMs: number, buckets: number): number => floorTo(nowMs, stepMs) - ((buckets - 1) * stepMs);

export type BurnCounts = Omit<BurnBucket, 'startMs'>;

export const addCounts = (left: BurnCounts, right: BurnCounts): BurnCounts => ({
	total: left.total + right.total,
	notWhole: left.notWhole + right.notWhole,
	timed: left.timed + right.timed,
	slow: left.slow + right.slow,
});

export const noCounts: BurnCounts = {
	total: 0, notWhole: 0, timed: 0, slow: 0,
};

/** Sum over the buckets from `fromMs` on; later ones than `nowMs` come from a clock that runs ahead and count too. */
export const sumSince = (buckets: ReadonlyMap<number, BurnCounts>, fromMs: number): BurnCounts => {
	let sum = noCounts;
	for (const [startMs, counts] of buckets) {
		if (startMs >= fromMs) {
			sum = addCounts(sum, counts);
		}
	}

	return sum;
};
