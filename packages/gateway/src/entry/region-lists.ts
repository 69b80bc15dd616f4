import type {RegionLists} from '@bitternpaddle/coordination';
import {
	findRoute, type Route, type RouteTable, type Team,
} from '@bitternpaddle/state';

export type RegionListsOptions = {
	/** The newest configuration known here; `null` if none is. */
	table(): RouteTable | null;
	readonly host: string;
	/** Path of the request, without the query. */
	readonly path: string;
	/** The route that the request matched on arrival. */
	readonly route: Route;
	readonly team: Team | null;
	/** The key of the request; `null` if its route required none. */
	readonly key: string | null;
};

/**
 * Returns the regions that the configuration now in force allows for a request; computed once for
 * each configuration. The route is matched again, because a new route may apply to the same path.
 * If none matches any more, the lists known on arrival stay in force.
 */
export const createRegionLists = ({table, host, path, route, team, key}: RegionListsOptions): (() => RegionLists) => {
	const listsIn = (current: RouteTable | null): RegionLists => {
		const currentRoute = current === null ? route : findRoute(current, host, path) ?? route;
		const currentTeam = key === null ? null : current?.teamsByKey.get(key) ?? team;
		return {route: currentRoute.allowedRegionIds ?? [], team: currentTeam?.allowedRegionIds ?? []};
	};

	let computedFor = table();
	let lists = listsIn(computedFor);
	return () => {
		const current = table();
		if (current !== computedFor) {
			computedFor = current;
			lists = listsIn(current);
		}

		return lists;
	};
};
