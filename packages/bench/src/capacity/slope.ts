import {
	linearRegression, linearRegressionLine, rSquared, sumNthPowerDeviations,
} from 'simple-statistics';

/** One measured size (`x`) and its cost (`y`). */
export type Point = {readonly x: number; readonly y: number};

/** A linear fit through measured points, with the standard error of its slope. */
export type Slope = {
	readonly points: readonly Point[];
	readonly slope: number;
	readonly intercept: number;
	/** Standard error of `slope`, in its unit. */
	readonly standardError: number;
	/** Share of the variance that the fit explains, 0 to 1. */
	readonly rSquared: number;
};

/** With fewer points the standard error is not meaningful. */
export const minPoints = 4;

export const fitSlope = (points: readonly Point[]): Slope => {
	if (points.length < minPoints) {
		throw new Error(`${points.length} points: a slope needs ${minPoints} or more`);
	}

	const pairs = points.map(({x, y}) => [x, y]);
	const {m: slope, b: intercept} = linearRegression(pairs);
	const line = linearRegressionLine({m: slope, b: intercept});
	let residuals = 0;
	for (const {x, y} of points) {
		residuals += (y - line(x)) ** 2;
	}

	const xVariation = sumNthPowerDeviations(points.map(({x}) => x), 2);
	// A constant cost is a perfect fit with slope 0, but the library would divide by its variation, which is 0.
	const yVariation = sumNthPowerDeviations(points.map(({y}) => y), 2);
	return {
		points, slope, intercept,
		standardError: Math.sqrt(residuals / (points.length - 2) / xVariation),
		rSquared: yVariation === 0 ? 1 : rSquared(pairs, line),
	};
};
