import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {
	adapterTagOf, announcementSchema, createCatalog, type Catalog,
} from '@bitternpaddle/state';
import {createFakeEngine, createFakeOrigin} from '@bitternpaddle/test-support';
import {readBody, sendHttp, silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {createAdapters, createTransferLinks, waitUntil} from '@bitternpaddle/daemon';

const name = 'm/tone';

const onReady = (): undefined => undefined;

/** One host's adapters before an engine that obeys everybody, with `m:v1` as its base and `tone` ordered. */
const setUp = async (t: Test) => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-adapters-'));
	const origin = await createFakeOrigin();
	const engine = await createFakeEngine({checksFencing: false});
	const base = await origin.publish(new Uint8Array(4096).fill(1), 1024);
	const tone = await origin.publish(new Uint8Array(2048).fill(2), 1024, base.manifestId);
	const catalog: Catalog = createCatalog();
	catalog.versions['m:v1'] = {versionId: 'm:v1', manifestId: base.manifestId, isWithdrawn: false};
	catalog.adapters['m:v1/tone'] = {
		versionId: 'm:v1', adapterId: 'tone', manifestId: tone.manifestId, isWithdrawn: false,
	};
	catalog.fleets.f = {
		fleetId: 'f', provider: 'p', versionId: 'm:v1', previousVersionId: null, replicas: 1, zoneIds: [], isLoaded: true, adapters: {keys: ['m:v1/tone'], fencingNumber: 2},
	};
	catalog.hosts.h1 = {
		announcement: announcementSchema.parse({
			hostId: 'h1', zoneId: 'z', regionId: 'r', serviceId: 's', provider: 'p', address: '127.0.0.1:1', capacity: 1, incarnation: 1, kind: 'engine',
		}),
		status: 'serving', readyVersionId: null, assignment: {fleetId: 'f', versionId: 'm:v1', fencingNumber: 1},
	};
	const host = {loaded: null as {versionId: string; digest: string} | null, hasLease: true};
	const links = createTransferLinks({
		inBytesPerSecond: null, outBytesPerSecond: null, hasStore: false, door: () => ({running: 0, capacity: 1}),
	});
	const adapters = createAdapters({
		hostId: 'h1', zoneId: 'z', regionId: 'r', folder, sources: {origin: origin.address, store: null}, originCopies: 1, links, selfAddress: () => '127.0.0.1:1',
		logger: silentLogger, endpointAddress: engine.address, engineCheckMs: 600_000, loaded: () => host.loaded, hasLease: () => host.hasLease, onReady,
	});
	t.teardown(async () => {
		await adapters.close();
		links.close();
		await Promise.all([engine.close(), origin.close()]);
		await rm(folder, {recursive: true, force: true});
	});
	const loadBase = async (): Promise<void> => {
		const file = path.join(folder, `${base.manifestId.slice('sha256:'.length)}.weights`);
		await writeFile(file, new Uint8Array(4096).fill(1));
		await readBody(await sendHttp({
			address: engine.address, method: 'POST', path: '/engine/load', body: JSON.stringify({versionId: 'm:v1', filePath: file, fencingNumber: 1}), idleTimeoutMs: 5000,
		}));
		host.loaded = {versionId: 'm:v1', digest: base.manifest.wholeDigest};
	};

	const baseOrder = async (order: () => Promise<void>): Promise<void> => adapters.holdOrders(async () => adapters.aroundBaseOrder(order));
	return {
		engine, adapters, catalog, host, loadBase, baseOrder, tag: adapterTagOf(catalog, 'm:v1', 'tone')!,
	};
};

// The engine restarts and its base is loaded again. When that is done and the
// door opens, the adapter must be there too; if it were still taken for held, a
// caller's request for it would run on the base alone.
t.test('an adapter comes back with its base', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, host, loadBase, baseOrder, tag} = await setUp(t);
	await baseOrder(loadBase);
	adapters.follow(catalog);
	await waitUntil('it is held', () => adapters.readyIds().length === 1);
	engine.restart();
	host.loaded = null;
	t.equal(adapters.enter(tag), null, 'no base, no adapter');
	t.same(adapters.readyIds(), []);
	engine.faults.adapterOrderMs = 100;
	await baseOrder(loadBase);
	t.same([...engine.heldAdapters().keys()], [name], 'there when the door opens');
	t.not(adapters.enter(tag), null);
	t.equal(adapters.enter(tag.replace('tone', 'other')), null);
});

// An order to load the adapter is still on its way to the engine when an order
// about the base is due. The one about the base has to wait: the adapter would
// otherwise arrive on a base that it was not made for.
t.test('orders to one engine do not overlap', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, loadBase, baseOrder} = await setUp(t);
	await baseOrder(loadBase);
	engine.faults.adapterOrderMs = 500;
	adapters.follow(catalog);
	await waitUntil('its bytes are here and its order is out', () => adapters.statuses()[0]?.state === 'activating');
	let doneBefore = -1;
	await adapters.holdOrders(async () => {
		doneBefore = engine.adapterOrders.length;
	});
	t.equal(doneBefore, 1, 'the order before was carried out first');
});

// A host that has lost control does not know which order is in force. Engines
// that ignore fencing numbers would obey it all the same, so it orders nothing.
t.test('no lease, no order', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, host, loadBase, baseOrder, tag} = await setUp(t);
	host.hasLease = false;
	await baseOrder(loadBase);
	adapters.follow(catalog);
	await waitUntil('its bytes are here', () => ['activating', 'ready'].includes(adapters.statuses()[0]?.state ?? ''));
	await baseOrder(async () => undefined);
	t.equal(engine.adapterOrders.length, 0);
	t.equal(adapters.enter(tag), null);
	host.hasLease = true;
	await baseOrder(async () => undefined);
	t.equal(engine.adapterOrders.length, 1);
	t.not(adapters.enter(tag), null);
});
