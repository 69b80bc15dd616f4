import {mayServe} from './may-serve.js';
import type {Catalog, HostRecord} from './types.js';

/** Host ids by availability zone. */
type HostsByZone = Map<string, Set<string>>;

/** The hosts assigned to a fleet, by zone, and their total number. */
export type FleetMembers = {size: number; readonly zones: HostsByZone};

/**
 * Index of the hosts for the assignment planner, derived from the catalog. It is
 * not part of the state: it is built once per copy of the catalog and updated by
 * `putHost` and `removeHost`, so that a change of one host need not scan all hosts.
 */
export type HostIndex = {
	/** By fleet. */
	readonly members: Map<string, FleetMembers>;
	/** Sorted ids of the hosts available for assignment, by provider, then by zone. */
	readonly free: Map<string, Map<string, string[]>>;
};

const indexes = new WeakMap<Catalog, HostIndex>();

export const hostIndexOf = (catalog: Catalog): HostIndex => {
	const cached = indexes.get(catalog);
	if (cached !== undefined) {
		return cached;
	}

	const index: HostIndex = {members: new Map(), free: new Map()};
	indexes.set(catalog, index);
	for (const hostId of Object.keys(catalog.hosts).toSorted()) {
		addToIndex(index, catalog.hosts[hostId]!);
	}

	return index;
};

/** Adds or replaces a host. No other code may write `catalog.hosts`, or the index becomes stale. */
export const putHost = (catalog: Catalog, host: HostRecord): void => {
	const {hostId} = host.announcement;
	const index = hostIndexOf(catalog);
	const previous = catalog.hosts[hostId];
	catalog.hosts[hostId] = host;
	if (previous !== undefined && isIndexUnaffected(previous, host)) {
		return;
	}

	if (previous !== undefined) {
		removeFromIndex(index, previous);
	}

	addToIndex(index, host);
};

/** Readiness, or a new version of the same fleet, does not affect the index. */
const isIndexUnaffected = (previous: HostRecord, after: HostRecord): boolean => previous.announcement === after.announcement
	&& previous.status === after.status
	&& previous.isEvacuated === after.isEvacuated
	&& previous.assignment?.fleetId === after.assignment?.fleetId;

export const removeHost = (catalog: Catalog, hostId: string): void => {
	const previous = catalog.hosts[hostId];
	if (previous === undefined) {
		return;
	}

	removeFromIndex(hostIndexOf(catalog), previous);
	// Copying the record without the host would cost time proportional to the number of hosts.
	// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
	delete catalog.hosts[hostId];
};

const isFree = (host: HostRecord): boolean => host.assignment === null && mayServe(host) && host.announcement.kind === 'engine';

const addToIndex = (index: HostIndex, host: HostRecord): void => {
	const {hostId, zoneId, provider} = host.announcement;
	if (host.assignment !== null) {
		const members = getOrCreate<string, FleetMembers>(index.members, host.assignment.fleetId, () => ({size: 0, zones: new Map()}));
		getOrCreate<string, Set<string>>(members.zones, zoneId, () => new Set()).add(hostId);
		members.size++;
	} else if (isFree(host)) {
		const ids = getOrCreate(getOrCreate(index.free, provider, () => new Map<string, string[]>()), zoneId, () => []);
		ids.splice(positionOf(ids, hostId), 0, hostId);
	}
};

const removeFromIndex = (index: HostIndex, host: HostRecord): void => {
	const {hostId, zoneId, provider} = host.announcement;
	if (host.assignment !== null) {
		const members = index.members.get(host.assignment.fleetId)!;
		members.zones.get(zoneId)!.delete(hostId);
		members.size--;
	} else if (isFree(host)) {
		const ids = index.free.get(provider)!.get(zoneId)!;
		ids.splice(positionOf(ids, hostId), 1);
	}
};

/** Position of `id` in a sorted list, or the position at which to insert it. */
const positionOf = (ids: readonly string[], id: string): number => {
	let low = 0;
	let high = ids.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (ids[middle]! < id) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

const getOrCreate = <Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value => {
	let value = map.get(key);
	if (value === undefined) {
		value = create();
		map.set(key, value);
	}

	return value;
};
