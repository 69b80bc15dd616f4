import type {RoutingConfiguration} from './types.js';

/** A list of allowed regions of a valid configuration that excludes endpoints unintentionally. */
export type RegionProblem
	/** No zone of the settings is in these regions. Either the route or the team is `null`. */
	= | {readonly type: 'unknownRegions'; readonly routeName: string | null; readonly teamName: string | null; readonly regionIds: readonly string[]}
		/** No region is in both lists: the requests of the team on this route are refused. */
		| {readonly type: 'exclusiveLists'; readonly routeName: string; readonly teamName: string; readonly routeRegionIds: readonly string[]; readonly teamRegionIds: readonly string[]};

const noRegions: readonly string[] = [];

/** Finds lists that name regions other than `knownRegionIds`, and routes and teams whose lists exclude each other. */
export const checkRegions = ({routes, teams}: RoutingConfiguration, knownRegionIds: ReadonlySet<string>): RegionProblem[] => {
	const problems: RegionProblem[] = [];
	const checkList = (routeName: string | null, teamName: string | null, listed: readonly string[]): void => {
		const regionIds = listed.filter(regionId => !knownRegionIds.has(regionId));
		if (regionIds.length > 0) {
			problems.push({
				type: 'unknownRegions', routeName, teamName, regionIds,
			});
		}
	};

	for (const {name, allowedRegionIds = noRegions} of routes) {
		checkList(name, null, allowedRegionIds);
	}

	for (const {name: teamName, allowedRegionIds: teamRegionIds = noRegions} of teams ?? []) {
		checkList(null, teamName, teamRegionIds);
		for (const {name: routeName, isPublic, allowedRegionIds: routeRegionIds = noRegions} of routes) {
			const hasBoth = routeRegionIds.length > 0 && teamRegionIds.length > 0;
			// The list of a team does not apply to public routes, which require no key.
			if (hasBoth && !isPublic && !routeRegionIds.some(regionId => teamRegionIds.includes(regionId))) {
				problems.push({
					type: 'exclusiveLists', routeName, teamName, routeRegionIds, teamRegionIds,
				});
			}
		}
	}

	return problems;
};
