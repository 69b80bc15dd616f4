import {
	createCatalog, type Catalog, type HostRecord,
} from '@bitternpaddle/state';
import type {ModelEndpoint} from './simulation.js';

export type BenchHost = Pick<ModelEndpoint, 'hostId' | 'zoneId' | 'capacity'>;

export const createBenchRecord = ({hostId, zoneId, capacity}: BenchHost): HostRecord => ({
	announcement: {
		hostId, zoneId, regionId: zoneId === 'tacoma-hall' ? 'puget' : 'elsewhere', serviceId: 's', provider: 'new', address: '127.0.0.1:1', capacity, incarnation: 1, kind: 'engine',
	} as unknown as HostRecord['announcement'],
	status: 'serving', readyVersionId: 'm:v1', assignment: {fleetId: 'f', versionId: 'm:v1', fencingNumber: 1},
});

/** Creates a catalog with one model on one fleet that includes all hosts. */
export const createBenchCatalog = (hosts: readonly BenchHost[]): Catalog => {
	const catalog = createCatalog();
	catalog.revision = 1;
	catalog.versions['m:v1'] = {versionId: 'm:v1', manifestId: 'sha256:0' as never, isWithdrawn: false};
	catalog.fleets.f = {
		fleetId: 'f', provider: 'new', versionId: 'm:v1', previousVersionId: null, replicas: hosts.length, zoneIds: [], isLoaded: true,
	};
	catalog.models.m = {traffic: [{fleetId: 'f', percent: 100}]};
	for (const host of hosts) {
		catalog.hosts[host.hostId] = createBenchRecord(host);
	}

	return catalog;
};
