import t from 'tap';
import {createCatalog, type Catalog, type HostRecord} from '@bitternpaddle/state';
import {
	chooseEndpoint, createRandom, createRouter, inFlightOn, estimatedLoad, recordEnd, recordLoadReport, recordStart, tickRouter, updateRouter, type RequestOutcome, type RouterState,
} from '@bitternpaddle/coordination';

const addHost = (catalog: Catalog, hostId: string): void => {
	catalog.hosts[hostId] = {
		announcement: {
			hostId, zoneId: 'z1', regionId: 'r1', serviceId: 's', provider: 'p', address: '127.0.0.1:1', capacity: 8, incarnation: 1, kind: 'engine',
		} as unknown as HostRecord['announcement'],
		status: 'serving', readyVersionId: 'm:v1', assignment: {fleetId: 'f', versionId: 'm:v1', fencingNumber: 1},
	};
};

const setUp = (count: number): {readonly catalog: Catalog; readonly router: RouterState} => {
	const catalog = createCatalog();
	catalog.revision = 1;
	catalog.versions['m:v1'] = {versionId: 'm:v1', manifestId: 'sha256:0' as never, isWithdrawn: false};
	catalog.fleets.f = {
		fleetId: 'f', provider: 'p', versionId: 'm:v1', previousVersionId: null, replicas: 1, zoneIds: [], isLoaded: true,
	};
	catalog.models.m = {traffic: [{fleetId: 'f', percent: 100}]};
	for (let index = 0; index < count; index++) {
		addHost(catalog, `h${index}`);
	}

	const router = createRouter({
		entryId: 'e1', zoneId: 'z1', regionId: 'r1', random: createRandom(7), slowStartMs: 1,
	});
	updateRouter(router, catalog, null, 0);
	return {catalog, router};
};

const finish = (router: RouterState, hostId: string, outcome: RequestOutcome, nowMs: number): void => {
	recordEnd(router, hostId, {outcome, hadFirstByte: false}, nowMs);
};

// A host that failed is removed, and a new host reuses its slot in the array of
// numbers. If the slot were not cleared, the failures of the old host would count
// against the new one, and requests would avoid it although it is idle.
t.test('a new host inherits nothing from a removed one', async t => {
	const {catalog, router} = setUp(4);
	for (let index = 0; index < 3; index++) {
		recordStart(router, 'h1', index);
		finish(router, 'h1', {type: 'failed'}, index);
	}

	t.same(tickRouter(router, 10).map(({type}) => type), ['ejected']);
	delete catalog.hosts.h1;
	updateRouter(router, catalog, null, 30);
	addHost(catalog, 'fresh');
	updateRouter(router, catalog, null, 40);
	let chosenCount = 0;
	for (let index = 0; index < 400; index++) {
		const choice = chooseEndpoint(router, {target: {type: 'model', modelId: 'm'}, tried: new Set(['h0', 'h2'])}, 50);
		chosenCount += choice.type === 'chosen' && choice.endpoint.hostId === 'fresh' ? 1 : 0;
	}

	t.ok(chosenCount > 150 && chosenCount < 250, `two equal hosts are chosen equally often: ${chosenCount} of 400`);
});

// Hosts join and leave while requests run, the array of numbers grows, and its slots
// and the indexes of start times are reused. A host's requests must not be counted for another host.
t.test('each host keeps its own requests while other hosts join and leave', async t => {
	const {catalog, router} = setUp(50);
	const random = createRandom(20_261);
	const expected = new Map<string, number>();
	for (let step = 0; step < 4000; step++) {
		const hostIds = Object.keys(catalog.hosts);
		const hostId = hostIds[random.between(0, hostIds.length - 1)]!;
		const running = expected.get(hostId) ?? 0;
		if (random.between(0, 9) === 0) {
			catalog.hosts = Object.fromEntries(Object.entries(catalog.hosts).filter(([id]) => id !== hostId));
			expected.delete(hostId);
			for (let left = running; left > 0; left--) {
				finish(router, hostId, {type: 'cancelled'}, step);
			}

			addHost(catalog, `n${step}`);
			addHost(catalog, `m${step}`);
			updateRouter(router, catalog, null, step);
		} else if (running > 0 && random.between(0, 1) === 0) {
			finish(router, hostId, {type: 'answered', latencyMs: 5}, step);
			expected.set(hostId, running - 1);
		} else {
			recordStart(router, hostId, step);
			expected.set(hostId, running + 1);
		}
	}

	const hostIds = Object.keys(catalog.hosts);
	t.ok(hostIds.length > 300, 'the array has grown');
	t.same(hostIds.map(id => inFlightOn(router, id)), hostIds.map(id => expected.get(id) ?? 0));
	t.same(hostIds.map(id => estimatedLoad(router, id, 4000)), hostIds.map(id => expected.get(id) ?? 0));
});

// A load report is made between two of the entry's starts, after an earlier request had
// ended. The entry's own requests must not be counted as those of other entries.
t.test('a load report is compared with the earlier starts', async t => {
	const {router} = setUp(2);
	for (const atMs of [10, 20, 30, 40]) {
		recordStart(router, 'h0', atMs);
		recordStart(router, 'h1', atMs + 1);
	}

	finish(router, 'h0', {type: 'cancelled'}, 45);
	recordLoadReport(router, 'h0', {running: 3, ageMs: 15}, 50);
	t.equal(estimatedLoad(router, 'h0', 50), 4, 'of three that ran at 35, one belongs to another entry');
	recordLoadReport(router, 'h1', {running: 4, ageMs: 5}, 50);
	t.equal(estimatedLoad(router, 'h1', 50), 4, 'all four belong to this entry');
});
