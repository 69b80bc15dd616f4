import {putHost} from './host-index.js';
import {valuesInKeyOrder} from './in-order.js';
import {fillFleets} from './plan-assignments.js';
import {refuse, type Outcome} from './refusal.js';
import type {Catalog, HostRecord} from './types.js';

const noZones: readonly string[] = [];

export const evacuatedZoneIds = (catalog: Catalog): readonly string[] => catalog.evacuatedZoneIds ?? noZones;

/** Sorted ids of the zones that hosts are in, that fleets name, or that are evacuated. */
export const knownZoneIds = (catalog: Catalog): string[] => [...new Set([
	...Object.values(catalog.hosts).map(({announcement}) => announcement.zoneId),
	...Object.values(catalog.fleets).flatMap(({zoneIds}) => zoneIds),
	...evacuatedZoneIds(catalog),
])].toSorted();

/** The field to spread into the record of a host in this zone; absent outside evacuated zones, so that records of other hosts remain as they were in earlier versions. */
export const evacuationMark = (catalog: Catalog, zoneId: string): Pick<HostRecord, 'isEvacuated'> => evacuatedZoneIds(catalog).includes(zoneId) ? {isEvacuated: true} : {};

export const evacuateZone = (catalog: Catalog, zoneId: string, index: number): Outcome => {
	const refusal = checkZone(catalog, zoneId);
	if (refusal !== null) {
		return refusal;
	}

	catalog.evacuatedZoneIds = [...new Set([...evacuatedZoneIds(catalog), zoneId])].toSorted();
	markHosts(catalog, zoneId, index);
	return null;
};

export const restoreZone = (catalog: Catalog, zoneId: string, index: number): Outcome => {
	const refusal = checkZone(catalog, zoneId);
	if (refusal !== null) {
		return refusal;
	}

	const remaining = evacuatedZoneIds(catalog).filter(id => id !== zoneId);
	if (remaining.length === 0) {
		delete catalog.evacuatedZoneIds;
	} else {
		catalog.evacuatedZoneIds = remaining;
	}

	markHosts(catalog, zoneId, index);
	return null;
};

const checkZone = (catalog: Catalog, zoneId: string): Outcome => {
	const known = knownZoneIds(catalog);
	return known.includes(zoneId)
		? null
		: refuse('unknown', `no zone ${zoneId}: no host is in it and no fleet names it${known.length === 0 ? '' : `; known zones: ${known.join(', ')}`}`);
};

/** Marks all hosts of the zone before fleets are completed; otherwise a host of the zone could replace another one of it. */
const markHosts = (catalog: Catalog, zoneId: string, index: number): void => {
	const mark = evacuationMark(catalog, zoneId);
	for (const host of valuesInKeyOrder(catalog.hosts)) {
		if (host.announcement.zoneId === zoneId && host.isEvacuated !== mark.isEvacuated) {
			const {isEvacuated, ...unmarked} = host;
			putHost(catalog, {...unmarked, ...mark, assignment: mark.isEvacuated ? null : host.assignment});
		}
	}

	fillFleets(catalog, index);
};
