import t from 'tap';
import {createCatalog, type Catalog, type HostRecord} from '@bitternpaddle/state';
import {
	chooseEndpoint, createRandom, createRouter, hasEndpoint, recordStart, updateRouter, type Choice, type RouterState,
} from '@bitternpaddle/coordination';

type HostSpec = {readonly zone: string; readonly version: string; readonly adapters?: readonly string[]};

const hostRecord = (hostId: string, {zone, version, adapters}: HostSpec): HostRecord => ({
	announcement: {
		hostId, zoneId: zone, regionId: 'r1', serviceId: 's', provider: 'p', address: '127.0.0.1:1', capacity: 1, incarnation: 1, kind: 'engine',
	} as unknown as HostRecord['announcement'],
	status: 'serving', readyVersionId: version, assignment: {fleetId: 'f', versionId: 'm:v2', fencingNumber: 1}, ...(adapters && {readyAdapterIds: adapters}),
});

const setUp = (hosts: Record<string, HostSpec>): {catalog: Catalog; router: RouterState} => {
	const catalog = createCatalog();
	catalog.revision = 1;
	for (const versionId of ['m:v1', 'm:v2']) {
		catalog.versions[versionId] = {versionId, manifestId: 'sha256:0' as never, isWithdrawn: false};
		catalog.adapters[`${versionId}/tone`] = {
			versionId, adapterId: 'tone', manifestId: 'sha256:1' as never, isWithdrawn: false,
		};
	}

	catalog.fleets.f = {
		fleetId: 'f', provider: 'p', versionId: 'm:v2', previousVersionId: 'm:v1', replicas: 1, zoneIds: [], isLoaded: true,
		adapters: {keys: ['m:v1/tone', 'm:v2/tone'], fencingNumber: 1},
	};
	catalog.models.m = {traffic: [{fleetId: 'f', percent: 100}]};
	for (const [hostId, spec] of Object.entries(hosts)) {
		catalog.hosts[hostId] = hostRecord(hostId, spec);
	}

	const router = createRouter({
		entryId: 'e1', zoneId: 'z1', regionId: 'r1', random: createRandom(7),
	});
	updateRouter(router, catalog, null, 0);
	return {catalog, router};
};

const choose = (router: RouterState, adapterId: string, tried: readonly string[] = []): Choice =>
	chooseEndpoint(router, {target: {type: 'model', modelId: 'm', adapterId}, tried: new Set(tried), prefixKey: 'p'.repeat(10)}, 0);

const hostIdOrType = (choice: Choice): string => choice.type === 'chosen' ? choice.endpoint.hostId : choice.type;

// Only one of several hosts holds the adapter, and it is in another zone. All requests
// for the adapter must go there. When it is full, a request must wait, because
// another host would refuse it.
t.test('only a host that holds the adapter is chosen', async t => {
	const {router} = setUp({
		h1: {zone: 'z1', version: 'm:v2'}, h2: {zone: 'z1', version: 'm:v2', adapters: ['other']}, h3: {zone: 'z2', version: 'm:v2', adapters: ['other', 'tone']},
	});
	const chosen = Array.from({length: 20}, () => hostIdOrType(choose(router, 'tone')));
	t.same([...new Set(chosen)], ['h3']);
	t.equal(hostIdOrType(choose(router, 'tone', ['h3'])), 'noEndpoint', 'the host was already tried');
	recordStart(router, 'h3', 0);
	t.equal(hostIdOrType(choose(router, 'tone')), 'busy', 'the host is full');
});

// While a fleet switches its base version, some hosts still hold the adapter of the same
// name for the old version. They must not be chosen once a host serves the version in force.
t.test('an adapter of the previous version does not count', async t => {
	const {router} = setUp({h1: {zone: 'z1', version: 'm:v1', adapters: ['tone']}, h2: {zone: 'z1', version: 'm:v2'}});
	t.equal(hostIdOrType(choose(router, 'tone')), 'noEndpoint');
	const before = setUp({h1: {zone: 'z1', version: 'm:v1', adapters: ['tone']}});
	t.equal(hostIdOrType(choose(before.router, 'tone')), 'h1', 'no host serves the new version yet');
});

t.test('an adapter that is unknown, not loaded or withdrawn is not routed', async t => {
	const {router, catalog} = setUp({h1: {zone: 'z1', version: 'm:v2', adapters: ['tone']}});
	t.equal(hostIdOrType(choose(router, 'none')), 'unknownTarget');
	catalog.fleets.f = {...catalog.fleets.f!, adapters: {keys: [], fencingNumber: 2}};
	updateRouter(router, catalog, null, 0);
	t.equal(hostIdOrType(choose(router, 'tone')), 'noEndpoint');
	t.notOk(hasEndpoint(router, {type: 'model', modelId: 'm', adapterId: 'tone'}));
	for (const key of Object.keys(catalog.adapters)) {
		catalog.adapters[key] = {...catalog.adapters[key]!, isWithdrawn: true};
	}

	updateRouter(router, catalog, null, 0);
	t.equal(hostIdOrType(choose(router, 'tone')), 'unknownTarget');
});
