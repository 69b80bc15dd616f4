import {
	announcementSchema, applyCommand, changeSchema, createCatalog, createLedger, sha256, type Announcement, type Change, type HostRecord, type ReplicatedState,
} from '@bitternpaddle/state';
import * as z from 'zod';

/** Number of availability zones in the target deployment; hosts are distributed evenly over them. */
export const zones = 31;
export const regions = 9;
export const sampleManifestId = `sha256:${'ab'.repeat(32)}`;
export const sampleVersionId = 'pitch-desk:v1';
export const sampleKey = 'marshals-key';
const sampleKeyDigest = sha256(sampleKey);

/** Creates an announcement as an agent of the target deployment sends it. */
export const sampleAnnouncement = (number: number): Announcement => announcementSchema.parse({
	hostId: `host-${String(number).padStart(5, '0')}`, zoneId: `zone-${number % zones}`, regionId: `region-${number % regions}`, serviceId: 'pitch-desk',
	provider: 'new', address: `10.0.${Math.floor(number / 250)}.${number % 250}:7200`, capacity: 16, incarnation: 1_796_000_000_000 + number, kind: 'engine',
});

/** Applies each change as a committed command with its own log index. */
export const applyChanges = (state: ReplicatedState, changes: readonly Change[]): void => {
	for (const change of changes) {
		applyCommand(state, {commandId: null, ifRevision: null, change}, state.catalog.revision + 1);
	}
};

/**
 * Creates a state with `hosts` endpoints, all assigned and ready. The assignments are
 * set directly on a copy: the host index belongs to a catalog object, and planning
 * does not terminate if that object's hosts are modified without updating the index.
 */
export const createSampleState = (hosts: number): ReplicatedState => {
	const stateWithHosts: ReplicatedState = {catalog: createCatalog(), ledger: createLedger()};
	applyChanges(stateWithHosts, Array.from({length: hosts}, (_, index) => ({type: 'hostJoined', announcement: sampleAnnouncement(index)})));
	const assignment = {fleetId: 'fair', versionId: sampleVersionId, fencingNumber: hosts + 5};
	const state = copyWithHosts(stateWithHosts, host => ({...host, readyVersionId: sampleVersionId, assignment}));
	applyChanges(state, z.array(changeSchema).parse([
		{type: 'createModel', modelId: 'pitch-desk'},
		{type: 'createVersion', versionId: sampleVersionId, manifestId: sampleManifestId},
		{
			type: 'createFleet', fleetId: 'fair', provider: 'new', versionId: sampleVersionId, replicas: hosts, zoneIds: [],
		},
		{
			type: 'createTeam', teamId: 'marshals', keyDigest: sampleKeyDigest, share: 1,
		},
		{type: 'load', versionId: sampleVersionId, fleetId: 'fair'},
	]));
	return state;
};

/** Copies a state and replaces each host by the result of `change`. */
export const copyWithHosts = ({catalog, ledger}: ReplicatedState, change: (host: HostRecord) => HostRecord): ReplicatedState => {
	const hosts = Object.fromEntries(Object.entries(catalog.hosts).map(([hostId, host]) => [hostId, change(host)]));
	return {catalog: structuredClone({...catalog, hosts}), ledger};
};
