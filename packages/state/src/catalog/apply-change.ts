import {match} from 'ts-pattern';
import {digestOf} from './digest.js';
import {planAssignments} from './plan-assignments.js';
import type {
	Announcement, Catalog, Change, HostRecord, Objective, Readiness, RefusalCode, TrafficShare,
} from './types.js';

/** Claims live in the ledger and are applied by `applyCommand`. */
export type CatalogChange = Exclude<Change, {type: 'claim' | 'moveClaim' | 'concludeClaim' | 'noop'}>;

export type Refusal = {readonly code: RefusalCode; readonly message: string};

/** `null` when the change was applied; otherwise the catalog is untouched. */
type Outcome = Refusal | null;

const refuse = (code: RefusalCode, message: string): Refusal => ({code, message});

/**
 * Applies one change to the catalog in place. `index` is the change's log
 * index; it becomes the catalog's revision and the fencing number of the
 * orders that follow from the change. Total and deterministic: the same
 * catalog and change give the same result on every host.
 */
export const applyChange = (catalog: Catalog, change: CatalogChange, index: number): Outcome => {
	const refusal = applyByType(catalog, change);
	if (refusal !== null) {
		return refusal;
	}

	catalog.revision = index;
	catalog.digest = digestOf([catalog.digest, index, change]);
	if (affectsAssignments(change)) {
		planAssignments(catalog, index);
	}

	return null;
};

const affectsAssignments = ({type}: CatalogChange): boolean => type === 'load'
	|| type === 'withdrawVersion'
	|| type === 'hostJoined'
	|| type === 'hostLeft'
	|| type === 'drainHost'
	|| type === 'undrainHost'
	|| type === 'stopHost';

const applyByType = (catalog: Catalog, change: CatalogChange): Outcome => match(change)
	.with({type: 'createModel'}, ({modelId}) => createUnique(catalog.models, 'model', modelId, {traffic: []}))
	.with({type: 'createVersion'}, change => createVersion(catalog, change))
	.with({type: 'createAdapter'}, ({adapterId, versionId, manifestId}) => versionId in catalog.versions
		? createUnique(catalog.adapters, 'adapter', adapterId, {versionId, manifestId})
		: refuse('unknown', `no version ${versionId}`))
	.with({type: 'createFleet'}, change => createFleet(catalog, change))
	.with({type: 'createService'}, ({serviceId, repeatable}) => createUnique(catalog.services, 'service', serviceId, {repeatable}))
	.with({type: 'setObjective'}, ({serviceId, objective}) => setObjective(catalog, serviceId, objective))
	.with({type: 'createTeam'}, ({teamId, keyDigest, share}) => createUnique(catalog.teams, 'team', teamId, {keyDigest, share}))
	.with({type: 'load'}, change => load(catalog, change))
	.with({type: 'withdrawVersion'}, ({versionId}) => withdraw(catalog, versionId))
	.with({type: 'moveTraffic'}, change => moveTraffic(catalog, change))
	.with({type: 'drainHost'}, ({hostId}) => setStatus(catalog, hostId, 'draining'))
	.with({type: 'undrainHost'}, ({hostId}) => setStatus(catalog, hostId, 'serving'))
	.with({type: 'stopHost'}, ({hostId}) => setStatus(catalog, hostId, 'stopped'))
	.with({type: 'hostJoined'}, ({announcement}) => joinHost(catalog, announcement))
	.with({type: 'hostLeft'}, ({hostId, incarnation}) => leaveHost(catalog, hostId, incarnation))
	.with({type: 'replicasChanged'}, ({readiness}) => changeReplicas(catalog, readiness))
	.exhaustive();

const createUnique = <Value>(records: Record<string, Value>, kind: string, id: string, value: Value): Outcome => {
	if (id in records) {
		return refuse('exists', `${kind} ${id} exists already`);
	}

	records[id] = value;
	return null;
};

type ChangeOf<Type extends Change['type']> = Extract<Change, {type: Type}>;

export const modelOfVersion = (versionId: string): string => versionId.slice(0, versionId.indexOf(':'));

const createVersion = (catalog: Catalog, {versionId, manifestId}: ChangeOf<'createVersion'>): Outcome => {
	const modelId = modelOfVersion(versionId);
	if (!(modelId in catalog.models)) {
		return refuse('unknown', `no model ${modelId}`);
	}

	return createUnique(catalog.versions, 'version', versionId, {versionId, manifestId, isWithdrawn: false});
};

const createFleet = (catalog: Catalog, change: ChangeOf<'createFleet'>): Outcome => {
	if (!(change.versionId in catalog.versions)) {
		return refuse('unknown', `no version ${change.versionId}`);
	}

	const {type, ...fleet} = change;
	return createUnique(catalog.fleets, 'fleet', change.fleetId, {...fleet, previousVersionId: null, isLoaded: false});
};

const setObjective = (catalog: Catalog, serviceId: string, objective: Objective): Outcome => {
	const service = catalog.services[serviceId];
	if (service === undefined) {
		return refuse('unknown', `no service ${serviceId}`);
	}

	catalog.services[serviceId] = {...service, objective};
	return null;
};

const load = (catalog: Catalog, {versionId, fleetId}: ChangeOf<'load'>): Outcome => {
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
	catalog.fleets[fleetId] = {
		...fleet, versionId, previousVersionId, isLoaded: true,
	};
	const {traffic} = catalog.models[modelId]!;
	if (traffic.length === 0) {
		catalog.models[modelId] = {traffic: [{fleetId, percent: 100}]};
	}

	return null;
};

const withdraw = (catalog: Catalog, versionId: string): Outcome => {
	const version = catalog.versions[versionId];
	if (version === undefined) {
		return refuse('unknown', `no version ${versionId}`);
	}

	const user = Object.values(catalog.fleets).find(fleet => fleet.isLoaded && fleet.versionId === versionId && fleet.previousVersionId === null);
	if (user !== undefined) {
		return refuse('conflict', `fleet ${user.fleetId} serves ${versionId} and has no earlier version to return to`);
	}

	catalog.versions[versionId] = {...version, isWithdrawn: true};
	for (const fleet of Object.values(catalog.fleets)) {
		if (fleet.isLoaded && fleet.versionId === versionId) {
			catalog.fleets[fleet.fleetId] = {...fleet, versionId: fleet.previousVersionId!, previousVersionId: null};
		}
	}

	return null;
};

const moveTraffic = (catalog: Catalog, change: ChangeOf<'moveTraffic'>): Outcome => {
	const model = catalog.models[change.modelId];
	if (model === undefined) {
		return refuse('unknown', `no model ${change.modelId}`);
	}

	const target = catalog.fleets[change.toFleetId];
	if (target === undefined) {
		return refuse('unknown', `no fleet ${change.toFleetId}`);
	}

	if (!target.isLoaded || modelOfVersion(target.versionId) !== change.modelId) {
		return refuse('conflict', `fleet ${change.toFleetId} is not loaded with ${change.modelId}`);
	}

	const held = model.traffic.find(share => share.fleetId === change.fromFleetId)?.percent ?? 0;
	if (held < change.percent) {
		return refuse('conflict', `fleet ${change.fromFleetId} has ${held}% of ${change.modelId}, not ${change.percent}%`);
	}

	catalog.models[change.modelId] = {traffic: shiftShares(model.traffic, change)};
	return null;
};

const shiftShares = (traffic: readonly TrafficShare[], {fromFleetId, toFleetId, percent}: ChangeOf<'moveTraffic'>): TrafficShare[] => {
	const shares = new Map(traffic.map(share => [share.fleetId, share.percent]));
	shares.set(fromFleetId, (shares.get(fromFleetId) ?? 0) - percent);
	shares.set(toFleetId, (shares.get(toFleetId) ?? 0) + percent);
	return [...shares]
		.filter(([, share]) => share > 0)
		.map(([fleetId, share]) => ({fleetId, percent: share}));
};

const setStatus = (catalog: Catalog, hostId: string, status: HostRecord['status']): Outcome => {
	const host = catalog.hosts[hostId];
	if (host === undefined) {
		return refuse('unknown', `no host ${hostId}`);
	}

	catalog.hosts[hostId] = {...host, status, assignment: status === 'serving' ? host.assignment : null};
	return null;
};

const joinHost = (catalog: Catalog, announcement: Announcement): Outcome => {
	const known = catalog.hosts[announcement.hostId];
	if (known !== undefined && known.announcement.incarnation >= announcement.incarnation) {
		return refuse('stale', `host ${announcement.hostId} has announced a later start`);
	}

	// A drain outlives a restart of the agent: the operator's word stands until undone.
	const status = known?.status === 'draining' ? 'draining' : 'serving';
	catalog.hosts[announcement.hostId] = {
		announcement, status, readyVersionId: null, assignment: known?.assignment ?? null,
	};
	catalog.services[announcement.serviceId] ??= {repeatable: announcement.kind === 'engine'};
	return null;
};

const leaveHost = (catalog: Catalog, hostId: string, incarnation: number): Outcome => {
	const host = catalog.hosts[hostId];
	if (host?.announcement.incarnation !== incarnation) {
		return refuse('stale', `host ${hostId} is not at this start`);
	}

	const {[hostId]: left, ...others} = catalog.hosts;
	catalog.hosts = others;
	return null;
};

const changeReplicas = (catalog: Catalog, readiness: readonly Readiness[]): Outcome => {
	for (const {hostId, incarnation, versionId} of readiness) {
		const host = catalog.hosts[hostId];
		if (host?.announcement.incarnation === incarnation) {
			catalog.hosts[hostId] = {...host, readyVersionId: versionId};
		}
	}

	return null;
};
