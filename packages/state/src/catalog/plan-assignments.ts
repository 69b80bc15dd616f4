import type {
	Assignment, Catalog, FleetRecord, HostRecord,
} from './types.js';

/**
 * Gives the hosts that each loaded fleet needs. Deterministic in the catalog
 * alone, since every host repeats it: an agent that computed another plan than
 * the control hosts would carry the wrong version. Hosts that already carry
 * the fleet stay; new ones are taken from the zone with the fewest.
 */
export const planAssignments = (catalog: Catalog, fencingNumber: number): void => {
	for (const fleetId of Object.keys(catalog.fleets).toSorted()) {
		const fleet = catalog.fleets[fleetId]!;
		if (fleet.isLoaded) {
			planFleet(catalog, fleet, fencingNumber);
		}
	}
};

const planFleet = (catalog: Catalog, fleet: FleetRecord, fencingNumber: number): void => {
	const members: HostRecord[] = [];
	const candidates: HostRecord[] = [];
	for (const hostId of Object.keys(catalog.hosts).toSorted()) {
		const host = catalog.hosts[hostId]!;
		if (!isEligible(host, fleet)) {
			continue;
		}

		if (host.assignment?.fleetId === fleet.fleetId) {
			members.push(host);
		} else if (host.assignment === null) {
			candidates.push(host);
		}
	}

	while (members.length < fleet.replicas && candidates.length > 0) {
		members.push(takeFromEmptiestZone(members, candidates));
	}

	for (const host of members) {
		assign(catalog, host, {fleetId: fleet.fleetId, versionId: fleet.versionId, fencingNumber});
	}
};

const isEligible = (host: HostRecord, fleet: FleetRecord): boolean => host.status === 'serving'
	&& host.announcement.kind === 'engine'
	&& host.announcement.provider === fleet.provider
	&& (fleet.zoneIds.length === 0 || fleet.zoneIds.includes(host.announcement.zoneId));

const takeFromEmptiestZone = (members: readonly HostRecord[], candidates: HostRecord[]): HostRecord => {
	const counts = new Map<string, number>();
	for (const {announcement: {zoneId}} of members) {
		counts.set(zoneId, (counts.get(zoneId) ?? 0) + 1);
	}

	let best = 0;
	for (const [index, candidate] of candidates.entries()) {
		const count = counts.get(candidate.announcement.zoneId) ?? 0;
		const bestCount = counts.get(candidates[best]!.announcement.zoneId) ?? 0;
		if (count < bestCount) {
			best = index;
		}
	}

	return candidates.splice(best, 1)[0]!;
};

const assign = (catalog: Catalog, host: HostRecord, assignment: Assignment): void => {
	const isSame = host.assignment?.fleetId === assignment.fleetId && host.assignment.versionId === assignment.versionId;
	if (isSame) {
		return;
	}

	const {hostId} = host.announcement;
	catalog.hosts[hostId] = {...host, assignment};
};
