import {hostIndexOf, putHost, type FleetMembers} from './host-index.js';
import {mayServe} from './may-serve.js';
import type {Catalog, FleetRecord, HostRecord} from './types.js';

/**
 * Assigns to each loaded fleet the hosts that it needs, and releases those that
 * it must not or need not have. Depends on the catalog alone, since every host
 * computes the plan itself: an agent with a different plan than the control hosts
 * would serve the wrong version. Hosts that already carry the fleet are kept.
 */
export const planAssignments = (catalog: Catalog, fencingNumber: number): void => {
	for (const fleet of Object.values(catalog.fleets)) {
		updateFleetAssignments(catalog, fleet.fleetId, fencingNumber);
	}

	fillFleets(catalog, fencingNumber);
};

/**
 * Moves a fleet's assigned hosts to its current version and releases those that are
 * not eligible or exceed its replicas; releases all if the fleet is not loaded or no
 * longer exists. Assigns no new hosts.
 */
export const updateFleetAssignments = (catalog: Catalog, fleetId: string, fencingNumber: number): void => {
	const members = hostIndexOf(catalog).members.get(fleetId);
	if (members === undefined) {
		return;
	}

	const fleet = catalog.fleets[fleetId];
	for (const hostId of hostIdsOf(members)) {
		const host = catalog.hosts[hostId]!;
		if (fleet === undefined || !fleet.isLoaded || !isEligible(host, fleet)) {
			putHost(catalog, {...host, assignment: null});
		} else if (host.assignment!.versionId !== fleet.versionId) {
			putHost(catalog, {...host, assignment: {fleetId, versionId: fleet.versionId, fencingNumber}});
		}
	}

	if (fleet?.isLoaded) {
		releaseSurplus(catalog, fleet, members);
	}
};

/** Assigns free hosts to fleets with too few, in the order of the fleets' names. */
export const fillFleets = (catalog: Catalog, fencingNumber: number): void => {
	const {members} = hostIndexOf(catalog);
	const incompleteFleets = Object.values(catalog.fleets)
		.filter(fleet => fleet.isLoaded && (members.get(fleet.fleetId)?.size ?? 0) < fleet.replicas)
		.toSorted((a, b) => (a.fleetId < b.fleetId ? -1 : 1));
	for (const fleet of incompleteFleets) {
		fillFleet(catalog, fleet, fencingNumber);
	}
};

const fillFleet = (catalog: Catalog, fleet: FleetRecord, fencingNumber: number): void => {
	const {members} = hostIndexOf(catalog);
	const {fleetId, versionId, replicas} = fleet;
	while ((members.get(fleetId)?.size ?? 0) < replicas) {
		const host = nextFreeHost(catalog, fleet, members.get(fleetId));
		if (host === null) {
			return;
		}

		putHost(catalog, {...host, assignment: {fleetId, versionId, fencingNumber}});
	}
};

/** Returns the first eligible free host in the zone in which the fleet has the fewest hosts. */
const nextFreeHost = (catalog: Catalog, fleet: FleetRecord, members: FleetMembers | undefined): HostRecord | null => {
	let best: HostRecord | null = null;
	let bestCount = fleet.maxPerZone ?? Number.POSITIVE_INFINITY;
	for (const [zoneId, hostIds] of hostIndexOf(catalog).free.get(fleet.provider) ?? []) {
		const count = members?.zones.get(zoneId)?.size ?? 0;
		if (count > bestCount || (best === null && count === bestCount) || !isAllowedZone(fleet, zoneId)) {
			continue;
		}

		const hostId = hostIds.find(id => isEligible(catalog.hosts[id]!, fleet));
		if (hostId !== undefined && (count < bestCount || hostId < best!.announcement.hostId)) {
			best = catalog.hosts[hostId]!;
			bestCount = count;
		}
	}

	return best;
};

/** Releases hosts from the zone with the most hosts, those that are not ready first, so that the fleet loses as few serving hosts as possible. */
const releaseSurplus = (catalog: Catalog, fleet: FleetRecord, members: FleetMembers): void => {
	const zones = [...members.zones]
		.toSorted(([a], [b]) => (a < b ? -1 : 1))
		.map(([, hostIds]) => readyFirst(catalog, fleet, hostIds));
	for (let surplus = members.size - fleet.replicas; surplus > 0; surplus--) {
		const maxHosts = Math.max(...zones.map(hosts => hosts.length));
		const released = zones.find(hosts => hosts.length === maxHosts)!.pop()!;
		putHost(catalog, {...released, assignment: null});
	}
};

const readyFirst = (catalog: Catalog, {versionId}: FleetRecord, hostIds: ReadonlySet<string>): HostRecord[] => {
	const hosts = [...hostIds].toSorted().map(hostId => catalog.hosts[hostId]!);
	const isReady = (host: HostRecord): boolean => host.readyVersionId === versionId;
	return [...hosts.filter(host => isReady(host)), ...hosts.filter(host => !isReady(host))];
};

const hostIdsOf = ({zones}: FleetMembers): string[] => [...zones.values()].flatMap(hostIds => [...hostIds]);

const isAllowedZone = (fleet: FleetRecord, zoneId: string): boolean => fleet.zoneIds.length === 0 || fleet.zoneIds.includes(zoneId);

const isEligible = (host: HostRecord, fleet: FleetRecord): boolean => mayServe(host) && isSuitable(host, fleet);

const isSuitable = ({announcement}: HostRecord, fleet: FleetRecord): boolean => announcement.kind === 'engine'
	&& announcement.provider === fleet.provider
	&& announcement.capacity >= (fleet.minCapacity ?? 0)
	&& isAllowedZone(fleet, announcement.zoneId);
