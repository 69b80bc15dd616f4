import {match} from 'ts-pattern';
import {
	createAdapter, loadAdapter, retireAdapter, unloadAdapter, withdrawAdapter,
} from './adapter-changes.js';
import {digestOf} from './digest.js';
import {evacuateZone, restoreZone} from './evacuated-zones.js';
import {
	createFleet, createVersion, load, retireFleet, retireVersion, setReplicas, withdraw,
} from './fleet-changes.js';
import {
	changeReplicas, joinHost, leaveHost, setStatus,
} from './host-changes.js';
import {createUnique, refuse, type Outcome} from './refusal.js';
import {
	advanceRollout, haltRollout, moveTraffic, resumeRollout, rollBack, startRollout, stopRollout,
} from './traffic-changes.js';
import type {Catalog, Change, Objective} from './types.js';

/** Changes of the catalog. Claims are part of the ledger and are applied by `applyCommand`. */
export type CatalogChange = Exclude<Change, {type: 'claim' | 'moveClaim' | 'concludeClaim' | 'noop'}>;

/**
 * Applies one change to the catalog in place. `index` is the change's log
 * index; it becomes the catalog's revision and the fencing number of the
 * assignments that result from the change. Total and deterministic: the same
 * catalog and change give the same result on every host. The cost depends on
 * what the change affects, not on the number of hosts.
 */
export const applyChange = (catalog: Catalog, change: CatalogChange, index: number): Outcome => {
	const refusal = applyByType(catalog, change, index);
	if (refusal !== null) {
		return refusal;
	}

	catalog.revision = index;
	catalog.digest = digestOf([catalog.digest, index, change]);
	return null;
};

const applyByType = (catalog: Catalog, change: CatalogChange, index: number): Outcome => match(change)
	.with({type: 'nameSystem'}, ({systemId}) => nameSystem(catalog, systemId))
	.with({type: 'createModel'}, ({modelId}) => createUnique(catalog.models, 'model', modelId, {traffic: []}))
	.with({type: 'createVersion'}, change => createVersion(catalog, change))
	.with({type: 'createAdapter'}, change => createAdapter(catalog, change))
	.with({type: 'loadAdapter'}, change => loadAdapter(catalog, change, index))
	.with({type: 'unloadAdapter'}, change => unloadAdapter(catalog, change, index))
	.with({type: 'withdrawAdapter'}, change => withdrawAdapter(catalog, change, index))
	.with({type: 'retireAdapter'}, change => retireAdapter(catalog, change))
	.with({type: 'createFleet'}, change => createFleet(catalog, change))
	.with({type: 'createService'}, ({serviceId, repeatable}) => createUnique(catalog.services, 'service', serviceId, {repeatable}))
	.with({type: 'setObjective'}, ({serviceId, objective}) => setObjective(catalog, serviceId, objective))
	.with({type: 'createTeam'}, ({teamId, keyDigest, share}) => createUnique(catalog.teams, 'team', teamId, {keyDigest, share}))
	.with({type: 'load'}, change => load(catalog, change, index))
	.with({type: 'setReplicas'}, change => setReplicas(catalog, change, index))
	.with({type: 'withdrawVersion'}, ({versionId}) => withdraw(catalog, versionId, index))
	.with({type: 'retireFleet'}, change => retireFleet(catalog, change, index))
	.with({type: 'retireVersion'}, change => retireVersion(catalog, change))
	.with({type: 'moveTraffic'}, change => moveTraffic(catalog, change))
	.with({type: 'startRollout'}, change => startRollout(catalog, change))
	.with({type: 'advanceRollout'}, change => advanceRollout(catalog, change))
	.with({type: 'haltRollout'}, change => haltRollout(catalog, change))
	.with({type: 'stopRollout'}, change => stopRollout(catalog, change))
	.with({type: 'resumeRollout'}, change => resumeRollout(catalog, change))
	.with({type: 'rollBack'}, change => rollBack(catalog, change))
	.with({type: 'drainHost'}, ({hostId}) => setStatus(catalog, hostId, 'draining', index))
	.with({type: 'undrainHost'}, ({hostId}) => setStatus(catalog, hostId, 'serving', index))
	.with({type: 'stopHost'}, ({hostId}) => setStatus(catalog, hostId, 'stopped', index))
	.with({type: 'evacuateZone'}, ({zoneId}) => evacuateZone(catalog, zoneId, index))
	.with({type: 'restoreZone'}, ({zoneId}) => restoreZone(catalog, zoneId, index))
	.with({type: 'hostJoined'}, ({announcement}) => joinHost(catalog, announcement, index))
	.with({type: 'hostLeft'}, ({hostId, incarnation}) => leaveHost(catalog, hostId, incarnation, index))
	.with({type: 'replicasChanged'}, ({readiness}) => changeReplicas(catalog, readiness))
	.exhaustive();

/** Sets the system id, which can never change: hosts keep the first id that they receive. */
const nameSystem = (catalog: Catalog, systemId: string): Outcome => {
	if (catalog.systemId !== undefined) {
		return refuse('exists', `the system is ${catalog.systemId}`);
	}

	catalog.systemId = systemId;
	return null;
};

const setObjective = (catalog: Catalog, serviceId: string, objective: Objective): Outcome => {
	const service = catalog.services[serviceId];
	if (service === undefined) {
		return refuse('unknown', `no service ${serviceId}`);
	}

	catalog.services[serviceId] = {...service, objective};
	return null;
};
