import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';

/** A seeded source of random numbers, so that a recorded trace replays exactly. */
export type Random = {
	/** A whole number from `min` to `max`, both included. */
	between(min: number, max: number): number;
};

export const createRandom = (seed: number): Random => {
	const generator = xorshift128plus(seed);
	return {between: (min, max) => uniformInt(generator, min, max)};
};

const shareSteps = 1_000_000;

/** A number from 0 up to, but not including, 1. */
export const drawShare = (random: Random): number => random.between(0, shareSteps - 1) / shareSteps;
