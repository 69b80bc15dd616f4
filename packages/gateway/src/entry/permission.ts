import {
	createZoneDemand, exclusionOf, permittedEndpoints, recordZoneDemand, zoneDemandShare, type Candidate, type Exclusion, type PermissionRules, type PermittedEndpoints, type RegionLists,
} from '@bitternpaddle/coordination';
import type {RoutingConfiguration} from '@bitternpaddle/state';
import {createLazyMap} from './lazy-map.js';

type RestrictedCall = {regionLists(): RegionLists};

/** The rules in force for a request, as fields of log lines; absent where nothing is excluded. */
export type RuleFields = {readonly evacuatedZones?: readonly string[]; readonly routeRegions?: readonly string[]; readonly teamRegions?: readonly string[]};

/** Applies the evacuated zones and the regions in force now to the endpoints of a request. */
export type Permission = {
	permittedEndpoints(call: RestrictedCall, candidates: readonly Candidate[]): PermittedEndpoints<Candidate>;
	/** Why a request must not be sent to an endpoint now; `null` if it may be. */
	exclusionOf(call: RestrictedCall, candidate: Candidate): Exclusion | null;
	ruleFields(call: RestrictedCall): RuleFields;
	/** Must be called with each configuration that comes into force. */
	applyConfiguration(configuration: RoutingConfiguration): void;
	/** Records that a request is sent to one of these endpoints of the service. */
	recordDemand(serviceName: string, permitted: readonly Candidate[], nowMs: number): void;
	/** Share of the service's requests that these endpoints receive; 1 while no route or team has a list. */
	demandShare(serviceName: string, permitted: readonly Candidate[], nowMs: number): number;
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
	const zoneDemand = createLazyMap(createZoneDemand);
	let hasLists = false;
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
		applyConfiguration({routes, teams}) {
			hasLists = [...routes, ...teams ?? []].some(({allowedRegionIds = []}) => allowedRegionIds.length > 0);
		},
		recordDemand(serviceName, permitted, nowMs) {
			if (hasLists) {
				recordZoneDemand(zoneDemand.of(serviceName), permitted, nowMs);
			}
		},
		demandShare: (serviceName, permitted, nowMs) => hasLists ? zoneDemandShare(zoneDemand.of(serviceName), permitted, nowMs) : 1,
	};
};
