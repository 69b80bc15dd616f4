import {measureBurst} from './burst.js';
import {measureDistribution} from './distribution/index.js';
import {measureBurn} from './burn.js';
import {measureConfiguration} from './configuration.js';
import {measureChaos} from './chaos/chaos.js';
import {measureCapacity} from './capacity/index.js';
import {measureControl} from './control/control.js';
import {measureClaims} from './control/claims.js';
import {measureEvents} from './events.js';
import {measureFleetCost} from './fleet-cost/index.js';
import {measureFlood} from './flood.js';
import {measureOverhead} from './overhead.js';
import {measurePlacement} from './placement/index.js';
import {measurePromptParts} from './prompt-parts.js';
import {measureQuarantine} from './quarantine.js';
import {measureEndpointLimits, measureLimits, measureRouting} from './routing.js';
import {measureUneven} from './uneven/index.js';

/** A benchmark: receives its command-line flags, may print progress, and resolves to the object that is printed as the last line. */
export type Bench = (flags: readonly string[]) => Promise<Record<string, unknown>>;

export const benches: Record<string, Bench> = {
	burst: measureBurst,
	distribution: measureDistribution,
	burn: measureBurn,
	configuration: measureConfiguration,
	chaos: measureChaos,
	capacity: measureCapacity,
	control: measureControl,
	claims: measureClaims,
	'endpoint-limits': measureEndpointLimits,
	events: measureEvents,
	'fleet-cost': measureFleetCost,
	flood: measureFlood,
	limits: measureLimits,
	overhead: measureOverhead,
	placement: measurePlacement,
	'prompt-parts': measurePromptParts,
	quarantine: measureQuarantine,
	routing: measureRouting,
	uneven: measureUneven,
};
