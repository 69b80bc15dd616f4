import type {RegionLists} from '@bitternpaddle/coordination';
import {
	findRoute, type Route, type RouteTable, type Team,
} from '@bitternpaddle/state';

export type RegionListsOptions = {
	/** The newest configuration known here; `null` if none is. */
	table(): RouteTable | null;
	/** The configuration in which the route and the team were found on arrival. */
	readonly matchedIn: RouteTable;
	readonly host: string;
	/** Path of the request, without the query. */
	readonly path: string;
	/** The route that the request matched on arrival. */
	readonly route: Route;
	readonly team: Team | null;
	/** The key of the request; `null` if its route required none. */
	readonly key: string | null;
};

const noRegions: readonly string[] = [];

const listsOf = (route: Route, team: Team | null): RegionLists => ({route: route.allowedRegionIds ?? noRegions, team: team?.allowedRegionIds ?? noRegions});

/**
 * Returns the regions that the configuration now in force allows for a request; computed once for
 * each configuration. The route is matched again, because a new route may apply to the same path.
 * If none matches any more, the lists known on arrival stay in force.
 */
export const createRegionLists = ({table, matchedIn, host, path, route, team, key}: RegionListsOptions): (() => RegionLists) => {
	let computedFor = matchedIn;
	let lists = listsOf(route, team);
	return () => {
		const current = table();
		if (current !== computedFor && current !== null) {
			computedFor = current;
			lists = listsOf(findRoute(current, host, path) ?? route, key === null ? null : current.teamsByKey.get(key) ?? team);
		}

		return lists;
	};
};
