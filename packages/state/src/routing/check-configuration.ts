import type {RoutingConfiguration} from './types.js';

const hostAndPrefixOf = ({host, prefix}: {host: string; prefix: string}): string => `${host.toLowerCase()} ${prefix}`;

/** Returns a message for each problem of a configuration; empty if the configuration is valid. */
export const checkConfiguration = (configuration: RoutingConfiguration): string[] => [
	...checkRoutes(configuration),
	...checkKeys(configuration),
];

const checkRoutes = ({routes, services}: RoutingConfiguration): string[] => {
	const problems: string[] = [];
	const serviceNames = new Set(services.map(service => service.name));
	const usedHostsAndPrefixes = new Set<string>();
	for (const route of routes) {
		for (const {serviceName} of route.targets) {
			if (!serviceNames.has(serviceName)) {
				problems.push(`route ${route.name} names the unknown service ${serviceName}`);
			}
		}

		let totalWeight = 0;
		for (const target of route.targets) {
			totalWeight += target.weight;
		}

		if (totalWeight <= 0) {
			problems.push(`the weights of route ${route.name} add up to ${totalWeight}, expected more than 0`);
		}

		if (route.timeoutMs <= 0) {
			problems.push(`route ${route.name} has the timeout ${route.timeoutMs}, expected more than 0 ms`);
		}

		const hostAndPrefix = hostAndPrefixOf(route);
		if (usedHostsAndPrefixes.has(hostAndPrefix)) {
			problems.push(`two routes share host and prefix ${hostAndPrefix}`);
		}

		usedHostsAndPrefixes.add(hostAndPrefix);
	}

	return problems;
};

const checkKeys = ({teams}: RoutingConfiguration): string[] => {
	const teamNamesByKey = new Map<string, string>();
	const problems: string[] = [];
	for (const team of teams ?? []) {
		for (const key of team.keys) {
			const otherTeamName = teamNamesByKey.get(key);
			if (otherTeamName !== undefined && otherTeamName !== team.name) {
				problems.push(`the teams ${otherTeamName} and ${team.name} share a key`);
			}

			teamNamesByKey.set(key, team.name);
		}
	}

	return problems;
};
