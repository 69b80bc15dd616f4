import {
	applyChange, changeSchema, createCatalog, type Catalog, type CatalogChange,
} from '@bitternpaddle/state';

const hostCounts = [120, 1200, 12_000];
const zoneCount = 31;
const timedChanges = 300;

const parseChange = (change: unknown): CatalogChange => changeSchema.parse(change) as CatalogChange;

const hostJoinedChange = (position: number, incarnation: number): CatalogChange => parseChange({
	type: 'hostJoined', announcement: {
		hostId: `h${position}`, zoneId: `zone-${position % zoneCount}`, regionId: `region-${position % 9}`, serviceId: 'bp-writers', provider: 'new',
		address: `10.0.${Math.floor(position / 256)}.${position % 256}:7000`, capacity: 8, incarnation, kind: 'engine',
	},
});

const replicasReadyChange = (positions: readonly number[]): CatalogChange => parseChange({
	type: 'replicasChanged', readiness: positions.map(position => ({hostId: `h${position}`, incarnation: 1, versionId: 'm:v1'})),
});

/** Creates a catalog with `hosts` hosts; nine in ten of them are assigned to one of ten fleets. */
const createFilledCatalog = (hosts: number): Catalog => {
	const catalog = createCatalog();
	const changes = [
		{type: 'createModel', modelId: 'm'},
		{type: 'createVersion', versionId: 'm:v1', manifestId: `sha256:${'a'.repeat(64)}`},
		...Array.from({length: 10}, (_, index) => ({
			type: 'createFleet', fleetId: `f${index}`, provider: 'new', versionId: 'm:v1', replicas: Math.floor(hosts * 0.09), zoneIds: [],
		})),
	].map(change => parseChange(change));
	for (let position = 0; position < hosts; position++) {
		changes.push(hostJoinedChange(position, 1));
	}

	changes.push(...Array.from({length: 10}, (_, index) => parseChange({type: 'load', versionId: 'm:v1', fleetId: `f${index}`})));
	for (const [position, change] of changes.entries()) {
		applyChange(catalog, change, position + 1);
	}

	return catalog;
};

/** Mean microseconds per change, over `timedChanges` changes of one type. */
const timeChanges = (catalog: Catalog, create: (round: number) => CatalogChange): number => {
	const changes = Array.from({length: timedChanges}, (_, round) => create(round));
	const startedAtMs = performance.now();
	for (const change of changes) {
		if (applyChange(catalog, change, catalog.revision + 1) !== null) {
			throw new Error(`${change.type} was rejected`);
		}
	}

	return Math.round((performance.now() - startedAtMs) / timedChanges * 1000 * 10) / 10;
};

const measureApply = (hosts: number): Record<string, number> => {
	const catalog = createFilledCatalog(hosts);
	const spreadPosition = (round: number): number => round * 7919 % hosts;
	return {
		hosts,
		readinessOf20Micros: timeChanges(catalog, round => replicasReadyChange(Array.from({length: 20}, (_, offset) => spreadPosition(round + offset)))),
		restartMicros: timeChanges(catalog, round => hostJoinedChange(spreadPosition(round), 2 + round)),
		drainMicros: timeChanges(catalog, round => parseChange({type: round % 2 === 0 ? 'drainHost' : 'undrainHost', hostId: `h${spreadPosition(Math.floor(round / 2))}`})),
	};
};

/** Measures what applying a change costs a host or a control host, by the number of hosts in the catalog. */
export const measureConfiguration = async (): Promise<Record<string, unknown>> => {
	const applied = hostCounts.map(hosts => measureApply(hosts));
	for (const row of applied) {
		console.log(JSON.stringify(row));
	}

	return {bench: 'configuration', applied};
};
