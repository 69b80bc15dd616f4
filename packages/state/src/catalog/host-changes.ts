import {evacuationMark} from './evacuated-zones.js';
import {putHost, removeHost} from './host-index.js';
import {fillFleets, updateFleetAssignments} from './plan-assignments.js';
import {refuse, type Outcome} from './refusal.js';
import type {
	Announcement, Catalog, HostRecord, Readiness,
} from './types.js';

export const setStatus = (catalog: Catalog, hostId: string, status: HostRecord['status'], index: number): Outcome => {
	const host = catalog.hosts[hostId];
	if (host === undefined) {
		return refuse('unknown', `no host ${hostId}`);
	}

	putHost(catalog, {...host, status, assignment: status === 'serving' ? host.assignment : null});
	fillFleets(catalog, index);
	return null;
};

export const joinHost = (catalog: Catalog, announcement: Announcement, index: number): Outcome => {
	const existing = catalog.hosts[announcement.hostId];
	if (existing !== undefined && existing.announcement.incarnation >= announcement.incarnation) {
		return refuse('stale', `host ${announcement.hostId} has announced a later start`);
	}

	// A drain persists across restarts of the agent, until an operator reverts it.
	const status = existing?.status === 'draining' ? 'draining' : 'serving';
	const assignment = existing?.assignment ?? null;
	putHost(catalog, {
		announcement, status, ...evacuationMark(catalog, announcement.zoneId), readyVersionId: null, assignment,
	});
	catalog.services[announcement.serviceId] ??= {repeatable: announcement.kind === 'engine'};
	if (assignment !== null && isPlacementChanged(existing!.announcement, announcement)) {
		// The host may have returned in a zone or at a provider that its fleet does not allow.
		updateFleetAssignments(catalog, assignment.fleetId, index);
	}

	fillFleets(catalog, index);
	return null;
};

const isPlacementChanged = (previous: Announcement, current: Announcement): boolean => previous.zoneId !== current.zoneId
	|| previous.provider !== current.provider
	|| previous.kind !== current.kind
	|| previous.capacity !== current.capacity;

export const leaveHost = (catalog: Catalog, hostId: string, incarnation: number, index: number): Outcome => {
	const host = catalog.hosts[hostId];
	if (host?.announcement.incarnation !== incarnation) {
		return refuse('stale', `host ${hostId} is not at this start`);
	}

	removeHost(catalog, hostId);
	fillFleets(catalog, index);
	return null;
};

export const changeReplicas = (catalog: Catalog, readiness: readonly Readiness[]): Outcome => {
	for (const {hostId, incarnation, versionId, adapterIds = []} of readiness) {
		const host = catalog.hosts[hostId];
		if (host?.announcement.incarnation === incarnation) {
			const {readyAdapterIds, ...unchanged} = host;
			putHost(catalog, {...unchanged, readyVersionId: versionId, ...(adapterIds.length > 0 && {readyAdapterIds: adapterIds})});
		}
	}

	return null;
};
