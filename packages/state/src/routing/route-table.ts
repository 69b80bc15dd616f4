import type {
	Route, RoutingConfiguration, Service, Team,
} from './types.js';

/** A configuration indexed for the lookup of requests. */
export type RouteTable = {
	readonly configuration: RoutingConfiguration;
	readonly services: ReadonlyMap<string, Service>;
	/** By host, then by prefix. */
	readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;
	readonly teamsByKey: ReadonlyMap<string, Team>;
};

export const createRouteTable = (configuration: RoutingConfiguration): RouteTable => {
	const routes = new Map<string, Map<string, Route>>();
	for (const route of configuration.routes) {
		const host = route.host.toLowerCase();
		const prefixes = routes.get(host) ?? new Map<string, Route>();
		prefixes.set(route.prefix, route);
		routes.set(host, prefixes);
	}

	const teamsByKey = new Map<string, Team>();
	for (const team of configuration.teams ?? []) {
		for (const key of team.keys) {
			teamsByKey.set(key, team);
		}
	}

	return {
		configuration, routes, teamsByKey, services: new Map(configuration.services.map(service => [service.name, service])),
	};
};

/** Returns the host's route with the longest prefix of `path`. The cost depends on the length of `path`, not on the number of routes. */
export const findRoute = ({routes}: RouteTable, host: string, path: string): Route | null => {
	const prefixes = routes.get(host.toLowerCase().split(':', 1)[0]!);
	if (prefixes === undefined) {
		return null;
	}

	for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
		const route = prefixes.get(path.slice(0, end + 1));
		if (route !== undefined) {
			return route;
		}
	}

	return null;
};
