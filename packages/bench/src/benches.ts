import {measureBurn} from './burn.js';
import {measureConfiguration} from './configuration.js';
import {measureChaos} from './chaos/chaos.js';
import {measureCapacity} from './capacity/index.js';
import {measureOverhead} from './overhead.js';

/** A measurement: takes its flags, prints what it likes, gives the object for the last line. */
export type Bench = (flags: readonly string[]) => Promise<Record<string, unknown>>;

export const benches: Record<string, Bench> = {
	burn: measureBurn,
	configuration: measureConfiguration,
	chaos: measureChaos,
	capacity: measureCapacity,
	overhead: measureOverhead,
};
