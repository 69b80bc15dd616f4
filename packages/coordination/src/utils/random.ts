import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';

/** Seeded random number generator, so that a recorded trace can be replayed exactly. */
export type Random = {
	/** Random integer from `min` to `max`, both inclusive. */
	between(min: number, max: number): number;
};

export const createRandom = (seed: number): Random => {
	const generator = xorshift128plus(seed);
	return {between: (min, max) => uniformInt(generator, min, max)};
};

const fractionSteps = 1_000_000;

/** Random number from 0 (inclusive) to 1 (exclusive). */
export const randomFraction = (random: Random): number => random.between(0, fractionSteps - 1) / fractionSteps;
