import {checkRegions, type RoutingConfiguration} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';

export type RegionCheckOptions = {
	readonly regionsByZone: ReadonlyMap<string, string>;
	readonly logger: Logger;
};

/** Half of the lines that a process writes for one event in a second, so that none of these is left out. */
const maxLines = 20;

/**
 * Returns a function that logs the lists of regions that exclude endpoints unintentionally.
 * It is called where a configuration has been decoded anyway: with a thousand routes, decoding
 * takes milliseconds at every other core host.
 */
export const createRegionCheck = ({regionsByZone, logger}: RegionCheckOptions): ((configuration: RoutingConfiguration) => void) => {
	const knownRegionIds = new Set(regionsByZone.values());
	return configuration => {
		const problems = checkRegions(configuration, knownRegionIds);
		const logged = problems.slice(0, maxLines);
		for (const [index, {type: problem, ...fields}] of logged.entries()) {
			const isLast = index === logged.length - 1;
			logger.event('BP4053', {
				number: configuration.number, problem, ...fields, ...(isLast && problems.length > maxLines && {omittedCount: problems.length - maxLines}),
			});
		}
	};
};
