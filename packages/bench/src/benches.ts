import {measureOverhead} from './overhead.js';
import {measureRouting} from './routing.js';

/** A measurement: takes its flags, prints what it likes, gives the object for the last line. */
export type Bench = (flags: readonly string[]) => Promise<Record<string, unknown>>;

export const benches: Record<string, Bench> = {
	overhead: measureOverhead,
	routing: measureRouting,
};
