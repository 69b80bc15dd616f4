import {
	linearRegression, linearRegressionLine, rSquared, sumNthPowerDeviations,
} from 'simple-statistics';

/** One measured size (`x`) and what it cost (`y`). */
export type Point = {readonly x: number; readonly y: number};

/** A straight line through measured points, with the error of its slope. */
export type Slope = {
	readonly points: readonly Point[];
	readonly slope: number;
	readonly intercept: number;
	/** Standard error of `slope`, in its unit. */
	readonly standardError: number;
	/** Share of the scatter that the line explains, 0 to 1. */
	readonly rSquared: number;
};

/** With fewer points the standard error says next to nothing. */
export const leastPoints = 4;

export const fitSlope = (points: readonly Point[]): Slope => {
	if (points.length < leastPoints) {
		throw new Error(`${points.length} points: a slope needs ${leastPoints} or more`);
	}

	const pairs = points.map(({x, y}) => [x, y]);
	const {m: slope, b: intercept} = linearRegression(pairs);
	const line = linearRegressionLine({m: slope, b: intercept});
	let residuals = 0;
	for (const {x, y} of points) {
		residuals += (y - line(x)) ** 2;
	}

	const spread = sumNthPowerDeviations(points.map(({x}) => x), 2);
	// A constant cost is a perfect line of slope 0; the library divides by its scatter, which is 0.
	const scatter = sumNthPowerDeviations(points.map(({y}) => y), 2);
	return {
		points, slope, intercept,
		standardError: Math.sqrt(residuals / (points.length - 2) / spread),
		rSquared: scatter === 0 ? 1 : rSquared(pairs, line),
	};
};
