import {cascadiaZones, type ZoneLocation} from './create-dev-cluster.js';

export type DeploymentService = {
	readonly serviceId: string;
	readonly kind: 'engine' | 'plain';
	readonly workers: number;
	/** Fleets select hosts by provider, so each service with engines has its own provider. */
	readonly provider: string;
};

export type DeploymentTeam = {readonly teamId: string; readonly share: number};

/** A user deployment with the sizes that its users specified. */
export type Deployment = {
	readonly name: string;
	readonly locations: readonly ZoneLocation[];
	/** One-way latencies. */
	readonly latencyMs: {readonly betweenZones: number; readonly betweenRegions: number; readonly toClients: number};
	/** The calls of the last service may not be repeated. */
	readonly services: readonly DeploymentService[];
	readonly teams: readonly DeploymentTeam[];
};

/** Ten teams, three of which have a larger share. */
const teams = (prefix: string): DeploymentTeam[] => Array.from({length: 10}, (_, index) => ({teamId: `${prefix}-${index + 1}`, share: index < 3 ? 10 : 1}));

export const midwayPitchDesk: Deployment = {
	name: 'Midway Pitch Desk of Cascadia',
	locations: cascadiaZones,
	latencyMs: {betweenZones: 1, betweenRegions: 2, toClients: 1},
	services: [
		{
			serviceId: 'bp-writers', kind: 'engine', workers: 10, provider: 'writers',
		},
		{
			serviceId: 'marshal-desk', kind: 'engine', workers: 3, provider: 'desk',
		},
		{
			serviceId: 'ledger', kind: 'plain', workers: 1, provider: 'plain',
		},
	],
	teams: teams('vendors'),
};

export const stationCleaningRouterFleet: Deployment = {
	name: 'Station Cleaning Router Fleet of Isuku',
	locations: [
		{zoneId: 'nyabugogo-hall', regionId: 'kigali'},
		{zoneId: 'musanze-hall', regionId: 'musanze'},
		{zoneId: 'huye-hall', regionId: 'huye'},
	],
	latencyMs: {betweenZones: 1.5, betweenRegions: 3, toClients: 3},
	services: [
		{
			serviceId: 'bitternpaddle-pool', kind: 'engine', workers: 8, provider: 'pool',
		},
		{
			serviceId: 'rounds-log', kind: 'engine', workers: 3, provider: 'log',
		},
		{
			serviceId: 'crew-roster', kind: 'plain', workers: 1, provider: 'plain',
		},
	],
	teams: teams('crew'),
};
