import {measureDistribution} from './distribution/index.js';
import {measureOverhead} from './overhead.js';

/** A measurement: takes its flags, prints what it likes, gives the object for the last line. */
export type Bench = (flags: readonly string[]) => Promise<Record<string, unknown>>;

export const benches: Record<string, Bench> = {
	distribution: measureDistribution,
	overhead: measureOverhead,
};
