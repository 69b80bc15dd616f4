import {putHost, removeHost} from './host-index.js';
import {fillFleets, orderFleet} from './plan-assignments.js';
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
	const known = catalog.hosts[announcement.hostId];
	if (known !== undefined && known.announcement.incarnation >= announcement.incarnation) {
		return refuse('stale', `host ${announcement.hostId} has announced a later start`);
	}

	// A drain outlives a restart of the agent: the operator's word stands until undone.
	const status = known?.status === 'draining' ? 'draining' : 'serving';
	const assignment = known?.assignment ?? null;
	putHost(catalog, {
		announcement, status, readyVersionId: null, assignment,
	});
	catalog.services[announcement.serviceId] ??= {repeatable: announcement.kind === 'engine'};
	if (assignment !== null && isMoved(known!.announcement, announcement)) {
		// It may have come back in another zone or at another provider, which its fleet does not allow.
		orderFleet(catalog, assignment.fleetId, index);
	}

	fillFleets(catalog, index);
	return null;
};

const isMoved = (before: Announcement, now: Announcement): boolean => before.zoneId !== now.zoneId
	|| before.provider !== now.provider
	|| before.kind !== now.kind
	|| before.capacity !== now.capacity;

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
			const {readyAdapterIds, ...rest} = host;
			putHost(catalog, {...rest, readyVersionId: versionId, ...(adapterIds.length > 0 && {readyAdapterIds: adapterIds})});
		}
	}

	return null;
};
