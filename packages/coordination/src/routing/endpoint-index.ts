import {modelOfVersion, type Catalog, type HostRecord} from '@bitternpaddle/state';

/** What a request asks for. */
export type RouteTarget
	= | {readonly type: 'model'; readonly modelId: string}
		| {readonly type: 'service'; readonly serviceId: string};

export type Endpoint = {
	readonly hostId: string;
	readonly address: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly capacity: number;
	/** Of the agent; a restarted agent has forgotten what it let through. */
	readonly incarnation: number;
	/** The version that an answer must carry; `null` for a plain service. */
	readonly versionId: string | null;
	readonly fleetId: string | null;
};

export type EndpointGroup = {readonly percent: number; readonly endpoints: readonly Endpoint[]};

/** Endpoints by what they serve, built once per revision so that a decision does not look through the catalog. */
export type EndpointIndex = {
	readonly revision: number;
	readonly models: ReadonlyMap<string, readonly EndpointGroup[]>;
	readonly services: ReadonlyMap<string, readonly Endpoint[]>;
};

const toEndpoint = ({announcement, readyVersionId, assignment}: HostRecord): Endpoint => ({
	hostId: announcement.hostId,
	address: announcement.address,
	zoneId: announcement.zoneId,
	regionId: announcement.regionId,
	capacity: announcement.capacity,
	incarnation: announcement.incarnation,
	versionId: readyVersionId,
	fleetId: assignment?.fleetId ?? null,
});

export const buildEndpointIndex = (catalog: Catalog): EndpointIndex => {
	const fleets = new Map<string, Endpoint[]>();
	const services = new Map<string, Endpoint[]>();
	for (const host of Object.values(catalog.hosts)) {
		if (host.status !== 'serving') {
			continue;
		}

		if (host.announcement.kind === 'plain') {
			append(services, host.announcement.serviceId, toEndpoint(host));
		} else if (host.assignment !== null && host.readyVersionId !== null) {
			append(fleets, host.assignment.fleetId, toEndpoint(host));
		}
	}

	const models = new Map<string, EndpointGroup[]>();
	for (const [modelId, {traffic}] of Object.entries(catalog.models)) {
		models.set(modelId, traffic.map(({fleetId, percent}) => ({percent, endpoints: endpointsOfFleet(catalog, fleets, fleetId)})));
	}

	return {revision: catalog.revision, models, services};
};

const append = (groups: Map<string, Endpoint[]>, key: string, endpoint: Endpoint): void => {
	const group = groups.get(key);
	if (group === undefined) {
		groups.set(key, [endpoint]);
	} else {
		group.push(endpoint);
	}
};

/** Those with the version in force; while none has it, those with the version before it. */
const endpointsOfFleet = (catalog: Catalog, fleets: ReadonlyMap<string, Endpoint[]>, fleetId: string): Endpoint[] => {
	const fleet = catalog.fleets[fleetId];
	const endpoints = fleets.get(fleetId) ?? [];
	if (fleet === undefined) {
		return [];
	}

	const current = endpoints.filter(endpoint => endpoint.versionId === fleet.versionId);
	return current.length > 0 ? current : endpoints.filter(endpoint => isUsable(catalog, fleet.versionId, endpoint.versionId!));
};

const isUsable = (catalog: Catalog, wantedVersionId: string, versionId: string): boolean => modelOfVersion(versionId) === modelOfVersion(wantedVersionId)
	&& catalog.versions[versionId]?.isWithdrawn === false;
