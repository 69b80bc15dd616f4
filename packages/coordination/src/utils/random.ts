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
