import type {Catalog, HostRecord} from './types.js';

/** Host ids by availability zone. */
type HostsByZone = Map<string, Set<string>>;

/** Hosts that carry a fleet, counted as a whole and by zone. */
export type FleetMembers = {size: number; readonly zones: HostsByZone};

/**
 * What the planner looks up, derived from the catalog. It is no part of the
 * state: it is built once per copy of the catalog and kept by `putHost` and
 * `removeHost`, so that one host's change does not look at all hosts.
 */
export type HostIndex = {
	/** By fleet. */
	readonly members: Map<string, FleetMembers>;
	/** Sorted ids of hosts that could take an assignment, by provider, then zone. */
	readonly free: Map<string, Map<string, string[]>>;
};

const indexes = new WeakMap<Catalog, HostIndex>();

export const hostIndexOf = (catalog: Catalog): HostIndex => {
	const known = indexes.get(catalog);
	if (known !== undefined) {
		return known;
	}

	const index: HostIndex = {members: new Map(), free: new Map()};
	indexes.set(catalog, index);
	for (const hostId of Object.keys(catalog.hosts).toSorted()) {
		addToIndex(index, catalog.hosts[hostId]!);
	}

	return index;
};

/** Writes one host. Nothing else may write `catalog.hosts`, or the index would miss it. */
export const putHost = (catalog: Catalog, host: HostRecord): void => {
	const {hostId} = host.announcement;
	const index = hostIndexOf(catalog);
	const before = catalog.hosts[hostId];
	catalog.hosts[hostId] = host;
	if (before !== undefined && isIndexedAlike(before, host)) {
		return;
	}

	if (before !== undefined) {
		removeFromIndex(index, before);
	}

	addToIndex(index, host);
};

/** Readiness and a new version of the same fleet change nothing that the index holds. */
const isIndexedAlike = (before: HostRecord, after: HostRecord): boolean => before.announcement === after.announcement
	&& before.status === after.status
	&& before.assignment?.fleetId === after.assignment?.fleetId;

export const removeHost = (catalog: Catalog, hostId: string): void => {
	const before = catalog.hosts[hostId];
	if (before === undefined) {
		return;
	}

	removeFromIndex(hostIndexOf(catalog), before);
	// A copy without the host would cost all hosts with each one that leaves.
	// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
	delete catalog.hosts[hostId];
};

const isFree = (host: HostRecord): boolean => host.assignment === null && host.status === 'serving' && host.announcement.kind === 'engine';

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

/** Where `id` is, or belongs, in a sorted list. */
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
