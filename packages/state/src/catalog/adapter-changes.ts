import {adapterKeyOf} from '../types/ids.js';
import {fleetsWithAdapter, maxAdaptersPerVersion} from './adapters.js';
import {
	modelOfVersion, refuse, type ChangeOf, type Outcome,
} from './refusal.js';
import type {Catalog, FleetRecord} from './types.js';

export const createAdapter = (catalog: Catalog, {versionId, adapterId, manifestId}: ChangeOf<'createAdapter'>): Outcome => {
	if (!(versionId in catalog.versions)) {
		return refuse('unknown', `no version ${versionId}`);
	}

	const key = adapterKeyOf(versionId, adapterId);
	const existing = catalog.adapters[key];
	if (existing !== undefined) {
		return refuse('exists', `adapter ${key} exists already, ${existing.manifestId === manifestId ? 'from the same manifest' : `from manifest ${existing.manifestId}`}`);
	}

	catalog.adapters[key] = {
		adapterId, versionId, manifestId, isWithdrawn: false,
	};
	return null;
};

/** Makes the fleet's hosts serve the adapter whenever they serve its version. The adapter may be loaded before the version is. */
export const loadAdapter = (catalog: Catalog, {versionId, adapterId, fleetId}: ChangeOf<'loadAdapter'>, index: number): Outcome => {
	const key = adapterKeyOf(versionId, adapterId);
	const adapter = catalog.adapters[key];
	if (adapter === undefined) {
		return refuse('unknown', `no adapter ${key}`);
	}

	if (adapter.isWithdrawn || catalog.versions[versionId]?.isWithdrawn !== false) {
		return refuse('conflict', `${adapter.isWithdrawn ? `adapter ${key}` : `version ${versionId}`} is withdrawn`);
	}

	const fleet = catalog.fleets[fleetId];
	if (fleet === undefined) {
		return refuse('unknown', `no fleet ${fleetId}`);
	}

	if (modelOfVersion(fleet.versionId) !== modelOfVersion(versionId)) {
		return refuse('conflict', `fleet ${fleetId} serves ${modelOfVersion(fleet.versionId)}, not ${modelOfVersion(versionId)}`);
	}

	const keys = fleet.adapters?.keys ?? [];
	const keysOfVersion = keys.filter(other => other !== key && other.startsWith(`${versionId}/`));
	if (keysOfVersion.length >= maxAdaptersPerVersion) {
		return refuse('conflict', `fleet ${fleetId} carries ${keysOfVersion.length} adapters of ${versionId}, the most that it may; unload one first`);
	}

	setAdapters(catalog, fleet, [...new Set([...keys, key])], index);
	return null;
};

export const unloadAdapter = (catalog: Catalog, {versionId, adapterId, fleetId}: ChangeOf<'unloadAdapter'>, index: number): Outcome => {
	const key = adapterKeyOf(versionId, adapterId);
	const fleet = catalog.fleets[fleetId];
	if (fleet === undefined) {
		return refuse('unknown', `no fleet ${fleetId}`);
	}

	if (!fleet.adapters?.keys.includes(key)) {
		return refuse('unknown', `fleet ${fleetId} does not carry adapter ${key}`);
	}

	dropAdapter(catalog, fleet, key, index);
	return null;
};

/** Removes an adapter from all fleets permanently. */
export const withdrawAdapter = (catalog: Catalog, {versionId, adapterId}: ChangeOf<'withdrawAdapter'>, index: number): Outcome => {
	const key = adapterKeyOf(versionId, adapterId);
	const adapter = catalog.adapters[key];
	if (adapter === undefined) {
		return refuse('unknown', `no adapter ${key}`);
	}

	for (const fleet of fleetsWithAdapter(catalog, key)) {
		dropAdapter(catalog, fleet, key, index);
	}

	catalog.adapters[key] = {...adapter, isWithdrawn: true};
	return null;
};

/** Deletes an adapter that no fleet carries. */
export const retireAdapter = (catalog: Catalog, {versionId, adapterId}: ChangeOf<'retireAdapter'>): Outcome => {
	const key = adapterKeyOf(versionId, adapterId);
	if (!(key in catalog.adapters)) {
		return refuse('unknown', `no adapter ${key}`);
	}

	const [user] = fleetsWithAdapter(catalog, key);
	if (user !== undefined) {
		return refuse('conflict', `fleet ${user.fleetId} still carries adapter ${key}; unload or withdraw it first`);
	}

	// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
	delete catalog.adapters[key];
	return null;
};

/** Removes the adapters of a withdrawn version from all fleets. */
export const dropAdaptersOfVersion = (catalog: Catalog, versionId: string, index: number): void => {
	for (const [key, adapter] of Object.entries(catalog.adapters)) {
		for (const fleet of adapter.versionId === versionId ? fleetsWithAdapter(catalog, key) : []) {
			dropAdapter(catalog, fleet, key, index);
		}
	}
};

const dropAdapter = (catalog: Catalog, fleet: FleetRecord, key: string, index: number): void => {
	setAdapters(catalog, fleet, fleet.adapters!.keys.filter(other => other !== key), index);
};

const setAdapters = (catalog: Catalog, fleet: FleetRecord, keys: readonly string[], index: number): void => {
	catalog.fleets[fleet.fleetId] = {...fleet, adapters: {keys: keys.toSorted(), fencingNumber: index}};
};
