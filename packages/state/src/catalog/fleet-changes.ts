import {dropAdaptersOfVersion} from './adapter-changes.js';
import {fleetsWithAdapter} from './adapters.js';
import {valuesInKeyOrder} from './in-order.js';
import {hostIndexOf} from './host-index.js';
import {fillFleets, updateFleetAssignments} from './plan-assignments.js';
import {
	createUnique, modelOfVersion, refuse, type ChangeOf, type Outcome,
} from './refusal.js';
import type {Catalog, FleetRecord} from './types.js';

export const createVersion = (catalog: Catalog, {versionId, manifestId}: ChangeOf<'createVersion'>): Outcome => {
	const modelId = modelOfVersion(versionId);
	if (!(modelId in catalog.models)) {
		return refuse('unknown', `no model ${modelId}`);
	}

	return createUnique(catalog.versions, 'version', versionId, {versionId, manifestId, isWithdrawn: false});
};

export const createFleet = (catalog: Catalog, change: ChangeOf<'createFleet'>): Outcome => {
	if (!(change.versionId in catalog.versions)) {
		return refuse('unknown', `no version ${change.versionId}`);
	}

	const {type, ...fleet} = change;
	return createUnique(catalog.fleets, 'fleet', change.fleetId, {...fleet, previousVersionId: null, isLoaded: false});
};

export const load = (catalog: Catalog, {versionId, fleetId}: ChangeOf<'load'>, index: number): Outcome => {
	const version = catalog.versions[versionId];
	if (version === undefined) {
		return refuse('unknown', `no version ${versionId}`);
	}

	if (version.isWithdrawn) {
		return refuse('conflict', `version ${versionId} is withdrawn`);
	}

	const fleet = catalog.fleets[fleetId];
	if (fleet === undefined) {
		return refuse('unknown', `no fleet ${fleetId}`);
	}

	const modelId = modelOfVersion(versionId);
	if (modelOfVersion(fleet.versionId) !== modelId) {
		return refuse('conflict', `fleet ${fleetId} serves ${modelOfVersion(fleet.versionId)}, not ${modelId}`);
	}

	const previousVersionId = fleet.isLoaded && fleet.versionId !== versionId ? fleet.versionId : fleet.previousVersionId;
	updateFleet(catalog, {
		...fleet, versionId, previousVersionId, isLoaded: true,
	}, index);
	const {traffic} = catalog.models[modelId]!;
	if (traffic.length === 0) {
		catalog.models[modelId] = {traffic: [{fleetId, percent: 100}]};
	}

	return null;
};

export const setReplicas = (catalog: Catalog, {fleetId, replicas}: ChangeOf<'setReplicas'>, index: number): Outcome => {
	const fleet = catalog.fleets[fleetId];
	if (fleet === undefined) {
		return refuse('unknown', `no fleet ${fleetId}`);
	}

	if (replicas === 0 && trafficPercentOf(catalog, fleetId) > 0) {
		return refuse('conflict', `fleet ${fleetId} still has ${trafficPercentOf(catalog, fleetId)}% of ${modelOfVersion(fleet.versionId)}`);
	}

	updateFleet(catalog, {...fleet, replicas}, index);
	return null;
};

const updateFleet = (catalog: Catalog, fleet: FleetRecord, index: number): void => {
	catalog.fleets[fleet.fleetId] = fleet;
	updateFleetAssignments(catalog, fleet.fleetId, index);
	fillFleets(catalog, index);
};

/**
 * Withdraws a version. A fleet that carries it reverts to the previous version;
 * a fleet in its first transfer, of which no host serves it yet, is unloaded.
 */
export const withdraw = (catalog: Catalog, versionId: string, index: number): Outcome => {
	const version = catalog.versions[versionId];
	if (version === undefined) {
		return refuse('unknown', `no version ${versionId}`);
	}

	const affectedFleets = valuesInKeyOrder(catalog.fleets).filter(fleet => fleet.isLoaded && fleet.versionId === versionId);
	const blockedFleet = affectedFleets.find(fleet => !canRevert(catalog, fleet) && (hasReadyHost(catalog, fleet) || sharesTraffic(catalog, fleet)));
	if (blockedFleet !== undefined) {
		return refuse('conflict', `fleet ${blockedFleet.fleetId} serves ${versionId} and has no earlier version to return to`);
	}

	catalog.versions[versionId] = {...version, isWithdrawn: true};
	dropAdaptersOfVersion(catalog, versionId, index);
	for (const {fleetId} of affectedFleets) {
		const fleet = catalog.fleets[fleetId]!;
		if (canRevert(catalog, fleet)) {
			updateFleet(catalog, {...fleet, versionId: fleet.previousVersionId!, previousVersionId: null}, index);
		} else {
			dropTraffic(catalog, fleet);
			updateFleet(catalog, {...fleet, isLoaded: false}, index);
		}
	}

	return null;
};

const canRevert = (catalog: Catalog, {previousVersionId}: FleetRecord): boolean => previousVersionId !== null
	&& catalog.versions[previousVersionId]?.isWithdrawn === false;

const hasReadyHost = (catalog: Catalog, {fleetId, versionId}: FleetRecord): boolean => {
	const zones = hostIndexOf(catalog).members.get(fleetId)?.zones.values() ?? [];
	return [...zones].some(hostIds => [...hostIds].some(hostId => catalog.hosts[hostId]!.readyVersionId === versionId));
};

/** Whether the model's traffic is split between this fleet and others, so that this fleet's share cannot simply be removed. */
const sharesTraffic = (catalog: Catalog, {fleetId, versionId}: FleetRecord): boolean => {
	const {traffic} = catalog.models[modelOfVersion(versionId)]!;
	return traffic.length > 1 && traffic.some(share => share.fleetId === fleetId);
};

const dropTraffic = (catalog: Catalog, {fleetId, versionId}: FleetRecord): void => {
	const modelId = modelOfVersion(versionId);
	const {traffic} = catalog.models[modelId]!;
	catalog.models[modelId] = {traffic: traffic.filter(share => share.fleetId !== fleetId)};
};

const trafficPercentOf = (catalog: Catalog, fleetId: string): number => Object.values(catalog.models)
	.flatMap(({traffic}) => traffic)
	.find(share => share.fleetId === fleetId)?.percent ?? 0;

/** Deletes a fleet without traffic; its hosts become available to other fleets. */
export const retireFleet = (catalog: Catalog, {fleetId}: ChangeOf<'retireFleet'>, index: number): Outcome => {
	const fleet = catalog.fleets[fleetId];
	if (fleet === undefined) {
		return refuse('unknown', `no fleet ${fleetId}`);
	}

	if (trafficPercentOf(catalog, fleetId) > 0) {
		return refuse('conflict', `fleet ${fleetId} still has ${trafficPercentOf(catalog, fleetId)}% of ${modelOfVersion(fleet.versionId)}`);
	}

	const rollout = valuesInKeyOrder(catalog.rollouts).find(({fromFleetId, toFleetId, state}) =>
		(state === 'running' || state === 'stopped') && (fromFleetId === fleetId || toFleetId === fleetId));
	if (rollout !== undefined) {
		return refuse('conflict', `the move of ${rollout.modelId} between ${rollout.fromFleetId} and ${rollout.toFleetId} is ${rollout.state}`);
	}

	// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
	delete catalog.fleets[fleetId];
	updateFleetAssignments(catalog, fleetId, index);
	fillFleets(catalog, index);
	return null;
};

/** Deletes a version that no fleet carries or can revert to. */
export const retireVersion = (catalog: Catalog, {versionId}: ChangeOf<'retireVersion'>): Outcome => {
	if (!(versionId in catalog.versions)) {
		return refuse('unknown', `no version ${versionId}`);
	}

	const user = valuesInKeyOrder(catalog.fleets).find(fleet => fleet.versionId === versionId || fleet.previousVersionId === versionId);
	if (user !== undefined) {
		return refuse('conflict', `fleet ${user.fleetId} still names ${versionId}`);
	}

	const adapter = Object.keys(catalog.adapters).toSorted().find(key => catalog.adapters[key]!.versionId === versionId);
	if (adapter !== undefined) {
		const [fleet] = fleetsWithAdapter(catalog, adapter);
		return refuse('conflict', `adapter ${adapter} stands on ${versionId}${fleet === undefined ? '' : ` and is loaded on fleet ${fleet.fleetId}`}; retire it first`);
	}

	// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
	delete catalog.versions[versionId];
	return null;
};
