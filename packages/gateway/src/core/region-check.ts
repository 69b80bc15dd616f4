import {checkRegions, type DocumentState} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {RequestProtocol} from '../link/request-protocol.js';

export type RegionCheckOptions = {
	readonly decodeConfiguration: RequestProtocol['decodeConfiguration'];
	readonly regionsByZone: ReadonlyMap<string, string>;
	readonly logger: Logger;
};

/** Half of the lines that a process writes for one event in a second, so that none of these is left out. */
const maxLines = 20;

/** Returns a function that logs once, for each configuration that this host stores, the lists of regions that exclude endpoints unintentionally. */
export const createRegionCheck = ({decodeConfiguration, regionsByZone, logger}: RegionCheckOptions): ((stored: DocumentState['configuration']) => void) => {
	const knownRegionIds = new Set(regionsByZone.values());
	let checkedNumber: number | null = null;
	return stored => {
		if (stored === null || stored.number === checkedNumber) {
			return;
		}

		checkedNumber = stored.number;
		const decoded = decodeConfiguration(stored.text);
		const problems = decoded.type === 'invalid' ? [] : checkRegions(decoded.configuration, knownRegionIds);
		const logged = problems.slice(0, maxLines);
		for (const [index, {type: problem, ...fields}] of logged.entries()) {
			const isLast = index === logged.length - 1;
			logger.event('BP4053', {
				number: stored.number, problem, ...fields, ...(isLast && problems.length > maxLines && {omittedCount: problems.length - maxLines}),
			});
		}
	};
};
