import {modelOfVersion, type Catalog, type Change} from '@bitternpaddle/state';
import {
	fleetKey, placeHost, removeHost, serviceKey, type PlaceOptions,
} from './placement.js';
import {adapterNameOf} from './adapter-hosts.js';
import type {Group, RouterState, TrafficGroup} from './types.js';

/**
 * Ids of the hosts whose records the changes may have replaced; `null` if a change
 * replans assignments, after which any host's record may differ.
 */
export const changedHostIds = (changes: readonly Change[]): ReadonlySet<string> | null => {
	const hostIds = new Set<string>();
	for (const change of changes) {
		if (change.type === 'replicasChanged') {
			for (const {hostId} of change.readiness) {
				hostIds.add(hostId);
			}
		} else if (!change.type.startsWith('create') && change.type !== 'moveTraffic') {
			return null;
		}
	}

	return hostIds;
};

/**
 * Applies the catalog. With the ids of the changed hosts, the cost depends only on
 * them; without, each host's record is compared by identity, which is one
 * comparison per host, and only the changed hosts are placed again.
 */
export const updateRouter = (state: RouterState, catalog: Catalog, hostIds: ReadonlySet<string> | null, nowMs: number): void => {
	const place: PlaceOptions = {isInitial: state.revision === 0, nowMs};
	if (hostIds === null) {
		updateAllHosts(state, catalog, place);
	} else {
		for (const hostId of hostIds) {
			updateHost(state, catalog, hostId, place);
		}
	}

	updateTraffic(state, catalog);
	state.revision = catalog.revision;
};

const updateHost = (state: RouterState, catalog: Catalog, hostId: string, place: PlaceOptions): void => {
	const record = catalog.hosts[hostId];
	const host = state.hosts.get(hostId);
	if (record === undefined) {
		if (host !== undefined) {
			removeHost(state, host, place.nowMs);
		}
	} else if (host?.record !== record) {
		placeHost(state, record, place);
	}
};

const updateAllHosts = (state: RouterState, catalog: Catalog, place: PlaceOptions): void => {
	let recordCount = 0;
	for (const hostId in catalog.hosts) { // eslint-disable-line guard-for-in -- plain JSON; `Object.keys` would allocate an array of 12,000 keys at each change
		recordCount++;
		updateHost(state, catalog, hostId, place);
	}

	if (recordCount === state.hosts.size) {
		return;
	}

	for (const host of state.hosts.values()) {
		if (!(host.hostId in catalog.hosts)) {
			removeHost(state, host, place.nowMs);
		}
	}
};

const updateTraffic = (state: RouterState, catalog: Catalog): void => {
	state.models.clear();
	for (const [modelId, {traffic}] of Object.entries(catalog.models)) {
		const groups: TrafficGroup[] = [];
		for (const {fleetId, percent} of traffic) {
			const group = groupOfFleet(state, catalog, fleetId);
			if (group !== null) {
				groups.push({percent, group, adapterIds: adaptersOfGroup(catalog, fleetId, group)});
			}
		}

		state.models.set(modelId, groups);
	}

	state.adapters.clear();
	for (const {versionId, adapterId, isWithdrawn} of Object.values(catalog.adapters)) {
		if (!isWithdrawn) {
			state.adapters.add(adapterNameOf(modelOfVersion(versionId), adapterId));
		}
	}

	state.services.clear();
	for (const serviceId of Object.keys(catalog.services)) {
		state.services.set(serviceId, state.groups.get(serviceKey(serviceId)) ?? null);
	}
};

/** Adapters of the version that the group serves; another version's adapter with the same name has different weights. */
const adaptersOfGroup = (catalog: Catalog, fleetId: string, {key}: Group): string[] => (catalog.fleets[fleetId]!.adapters?.keys ?? [])
	.map(adapterKey => catalog.adapters[adapterKey])
	.filter(adapter => adapter !== undefined && fleetKey(fleetId, adapter.versionId) === key)
	.map(adapter => adapter!.adapterId);

/** The group with the version in force; while no host serves it, the largest group with another usable version. */
const groupOfFleet = (state: RouterState, catalog: Catalog, fleetId: string): Group | null => {
	const fleet = catalog.fleets[fleetId];
	if (fleet === undefined) {
		return null;
	}

	const current = state.groups.get(fleetKey(fleetId, fleet.versionId));
	if (current !== undefined) {
		return current;
	}

	const modelId = modelOfVersion(fleet.versionId);
	let largest: Group | null = null;
	for (const {versionId, isWithdrawn} of Object.values(catalog.versions)) {
		const group = isWithdrawn || modelOfVersion(versionId) !== modelId ? undefined : state.groups.get(fleetKey(fleetId, versionId));
		if (group !== undefined && (largest === null || group.size > largest.size)) {
			largest = group;
		}
	}

	return largest;
};
