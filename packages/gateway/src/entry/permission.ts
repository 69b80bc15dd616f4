import {
	exclusionOf, permittedEndpoints, type Candidate, type Exclusion, type PermissionRules, type PermittedEndpoints, type RegionLists,
} from '@bitternpaddle/coordination';

type RestrictedCall = {regionLists(): RegionLists};

/** The rules in force for a request, as fields of log lines; absent where nothing is excluded. */
export type RuleFields = {readonly evacuatedZones?: readonly string[]; readonly routeRegions?: readonly string[]; readonly teamRegions?: readonly string[]};

/** Applies the evacuated zones and the regions in force now to the endpoints of a request. */
export type Permission = {
	permittedEndpoints(call: RestrictedCall, candidates: readonly Candidate[]): PermittedEndpoints<Candidate>;
	/** Why a request must not be sent to an endpoint now; `null` if it may be. */
	exclusionOf(call: RestrictedCall, candidate: Candidate): Exclusion | null;
	ruleFields(call: RestrictedCall): RuleFields;
};

export type PermissionOptions = {
	evacuatedZoneIds(): readonly string[];
	readonly regionsByZone: ReadonlyMap<string, string>;
};

/** Reasons of refusals, for callers and operators. */
export const exclusionReasons: Readonly<Record<Exclusion, string>> = {
	evacuated: 'every endpoint is in an evacuated zone',
	region: 'no endpoint is in a region that its route and team allow',
};

/** Retry delay for a caller whose request no endpoint may serve; earlier retries are refused as well until an operator acts. */
export const exclusionRetryMs = 1500;

export const createPermission = ({evacuatedZoneIds, regionsByZone}: PermissionOptions): Permission => {
	const rulesOf = (call: RestrictedCall): PermissionRules => ({evacuatedZoneIds: evacuatedZoneIds(), regionsByZone, lists: call.regionLists()});
	return {
		permittedEndpoints: (call, candidates) => permittedEndpoints(candidates, rulesOf(call)),
		exclusionOf: (call, {announcement: {zoneId}}) => exclusionOf(zoneId, rulesOf(call)),
		ruleFields(call) {
			const {evacuatedZoneIds: evacuatedZones, lists: {route, team}} = rulesOf(call);
			return {
				...(evacuatedZones.length > 0 && {evacuatedZones}),
				...(route.length > 0 && {routeRegions: route}),
				...(team.length > 0 && {teamRegions: team}),
			};
		},
	};
};
