import {hostIndexOf, putHost, type FleetMembers} from './host-index.js';
import type {Catalog, FleetRecord, HostRecord} from './types.js';

/**
 * Gives the hosts that each loaded fleet needs, and takes back those that it
 * must not or need not have. Deterministic in the catalog alone, since every
 * host repeats it: an agent that computed another plan than the control hosts
 * would carry the wrong version. Hosts that already carry the fleet stay.
 */
export const planAssignments = (catalog: Catalog, fencingNumber: number): void => {
	for (const fleet of Object.values(catalog.fleets)) {
		orderFleet(catalog, fleet.fleetId, fencingNumber);
	}

	fillFleets(catalog, fencingNumber);
};

/** Brings the present hosts of one fleet to its version and its number; takes no new ones. */
export const orderFleet = (catalog: Catalog, fleetId: string, fencingNumber: number): void => {
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

/** Completes fleets that lack hosts, in the order of their names, from free hosts. */
export const fillFleets = (catalog: Catalog, fencingNumber: number): void => {
	const {members} = hostIndexOf(catalog);
	const lacking = Object.values(catalog.fleets)
		.filter(fleet => fleet.isLoaded && (members.get(fleet.fleetId)?.size ?? 0) < fleet.replicas)
		.toSorted((a, b) => (a.fleetId < b.fleetId ? -1 : 1));
	for (const fleet of lacking) {
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

/** The first free host of the zone in which the fleet has the fewest. */
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

/** Takes hosts from the fullest zone, those that are not ready first, so that a smaller fleet loses the fewest that serve. */
const releaseSurplus = (catalog: Catalog, fleet: FleetRecord, members: FleetMembers): void => {
	const zones = [...members.zones]
		.toSorted(([a], [b]) => (a < b ? -1 : 1))
		.map(([, hostIds]) => readyFirst(catalog, fleet, hostIds));
	for (let surplus = members.size - fleet.replicas; surplus > 0; surplus--) {
		const most = Math.max(...zones.map(hosts => hosts.length));
		const leaving = zones.find(hosts => hosts.length === most)!.pop()!;
		putHost(catalog, {...leaving, assignment: null});
	}
};

const readyFirst = (catalog: Catalog, {versionId}: FleetRecord, hostIds: ReadonlySet<string>): HostRecord[] => {
	const hosts = [...hostIds].toSorted().map(hostId => catalog.hosts[hostId]!);
	const isReady = (host: HostRecord): boolean => host.readyVersionId === versionId;
	return [...hosts.filter(host => isReady(host)), ...hosts.filter(host => !isReady(host))];
};

const hostIdsOf = ({zones}: FleetMembers): string[] => [...zones.values()].flatMap(hostIds => [...hostIds]);

const isAllowedZone = (fleet: FleetRecord, zoneId: string): boolean => fleet.zoneIds.length === 0 || fleet.zoneIds.includes(zoneId);

const isEligible = ({status, announcement}: HostRecord, fleet: FleetRecord): boolean => status === 'serving'
	&& announcement.kind === 'engine'
	&& announcement.provider === fleet.provider
	&& announcement.capacity >= (fleet.minCapacity ?? 0)
	&& isAllowedZone(fleet, announcement.zoneId);
