/** Regions whose endpoints a request may reach. Both lists apply; an empty one restricts nothing. */
export type RegionLists = {readonly route: readonly string[]; readonly team: readonly string[]};

export type PermissionRules = {
	readonly evacuatedZoneIds: readonly string[];
	/** Region of each zone of the deployment, by zone id. */
	readonly regionsByZone: ReadonlyMap<string, string>;
	readonly lists: RegionLists;
};

/** Why a request must not be sent to an endpoint. */
export type Exclusion = 'evacuated' | 'region';

type Endpoint = {readonly announcement: {readonly zoneId: string}};

export type PermittedEndpoints<Candidate> = {
	readonly candidates: readonly Candidate[];
	/** Why there are candidates but none is permitted; otherwise `null`. */
	readonly exclusion: Exclusion | null;
};

const hasLists = ({route, team}: RegionLists): boolean => route.length > 0 || team.length > 0;

const isInLists = (zoneId: string, {regionsByZone, lists: {route, team}}: PermissionRules): boolean => {
	const regionId = regionsByZone.get(zoneId);
	return regionId !== undefined && (route.length === 0 || route.includes(regionId)) && (team.length === 0 || team.includes(regionId));
};

/** Why a request must not be sent to an endpoint in the zone; `null` if it may be. An endpoint in an unknown zone is permitted only for requests without a list. */
export const exclusionOf = (zoneId: string, rules: PermissionRules): Exclusion | null => {
	if (hasLists(rules.lists) && !isInLists(zoneId, rules)) {
		return 'region';
	}

	return rules.evacuatedZoneIds.includes(zoneId) ? 'evacuated' : null;
};

/**
 * The candidates that a request may be sent to. If no candidate is in a permitted region, the
 * reason is the region, also if zones are evacuated: the end of an evacuation would not help.
 */
export const permittedEndpoints = <Candidate extends Endpoint>(candidates: readonly Candidate[], rules: PermissionRules): PermittedEndpoints<Candidate> => {
	if (rules.evacuatedZoneIds.length === 0 && !hasLists(rules.lists)) {
		return {candidates, exclusion: null};
	}

	const exclusions = candidates.map(({announcement: {zoneId}}) => exclusionOf(zoneId, rules));
	const permitted = candidates.filter((_, index) => exclusions[index] === null);
	if (permitted.length > 0 || candidates.length === 0) {
		return {candidates: permitted, exclusion: null};
	}

	return {candidates: permitted, exclusion: exclusions.includes('evacuated') ? 'evacuated' : 'region'};
};
