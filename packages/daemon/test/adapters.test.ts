import {
	mkdtemp, open, rm, writeFile,
} from 'node:fs/promises';
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

/** One host's adapters with an engine that ignores fencing numbers, the base `m:v1` and an order for `tone`. */
const setUp = async (t: Test, {engineCheckMs = 600_000}: {engineCheckMs?: number} = {}) => {
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
		inBytesPerSecond: null, outBytesPerSecond: null, hasStore: false, gateLoad: () => ({running: 0, capacity: 1}),
	});
	const adapters = createAdapters({
		hostId: 'h1', zoneId: 'z', regionId: 'r', folder, sources: {origin: origin.address, store: null}, originCopies: 1, links, selfAddress: () => '127.0.0.1:1',
		logger: silentLogger, endpointAddress: engine.address, engineCheckMs, loaded: () => host.loaded, hasLease: () => host.hasLease, onReady,
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

	const sendBaseOrder = async (order: () => Promise<void>): Promise<void> => adapters.runWithoutOrders(async () => adapters.runBaseOrder(order));
	return {
		engine, adapters, catalog, host, loadBase, sendBaseOrder, tag: adapterTagOf(catalog, 'm:v1', 'tone')!,
	};
};

// The engine restarts and its base is loaded again. When requests are accepted
// again, the adapter must be loaded too: if the agent still assumed that the
// engine has it, a request for the adapter would run on the base alone.
t.test('an adapter is loaded again with its base', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, host, loadBase, sendBaseOrder, tag} = await setUp(t);
	await sendBaseOrder(loadBase);
	adapters.applyCatalog(catalog);
	await waitUntil('the adapter is loaded', () => adapters.readyIds().length === 1);
	engine.restart();
	host.loaded = null;
	t.equal(adapters.acquire(tag), null, 'no adapter can be used without its base');
	t.same(adapters.readyIds(), []);
	engine.faults.adapterOrderMs = 100;
	await sendBaseOrder(loadBase);
	t.same([...engine.heldAdapters().keys()], [name], 'loaded before requests are accepted');
	t.not(adapters.acquire(tag), null);
	t.equal(adapters.acquire(tag.replace('tone', 'other')), null);
});

// An order to load the adapter is still in flight when an order to load a base
// is due. The base order has to wait: the adapter could otherwise be loaded
// onto a base that it was not made for.
t.test('orders to one engine do not overlap', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, loadBase, sendBaseOrder} = await setUp(t);
	await sendBaseOrder(loadBase);
	engine.faults.adapterOrderMs = 500;
	adapters.applyCatalog(catalog);
	await waitUntil('the adapter is verified and its order has been sent', () => adapters.statuses()[0]?.state === 'activating');
	let ordersBefore = -1;
	await adapters.runWithoutOrders(async () => {
		ordersBefore = engine.adapterOrders.length;
	});
	t.equal(ordersBefore, 1, 'the earlier order was executed first');
});

// A host without a lease from control does not know which order is in force.
// Engines that ignore fencing numbers would still accept its orders, so it must
// send none.
t.test('a host without a lease sends no orders', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, host, loadBase, sendBaseOrder, tag} = await setUp(t);
	host.hasLease = false;
	await sendBaseOrder(loadBase);
	adapters.applyCatalog(catalog);
	await waitUntil('the adapter is verified', () => ['activating', 'ready'].includes(adapters.statuses()[0]?.state ?? ''));
	await sendBaseOrder(async () => undefined);
	t.equal(engine.adapterOrders.length, 0);
	t.equal(adapters.acquire(tag), null);
	host.hasLease = true;
	await sendBaseOrder(async () => undefined);
	t.equal(engine.adapterOrders.length, 1);
	t.not(adapters.acquire(tag), null);
});

// The lease expires while the engine's status is read. Engines that ignore
// fencing numbers would unload an adapter that another agent may have ordered.
t.test('no adapter is unloaded once the lease has expired', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, host, loadBase, sendBaseOrder} = await setUp(t);
	await sendBaseOrder(loadBase);
	adapters.applyCatalog(catalog);
	await waitUntil('the adapter is loaded', () => adapters.readyIds().length === 1);
	await adapters.runWithoutOrders(async () => undefined);
	let checks = 0;
	Object.defineProperty(host, 'hasLease', {
		get() {
			checks++;
			return checks === 1;
		},
	});
	catalog.hosts.h1 = {...catalog.hosts.h1!, assignment: {fleetId: 'f', versionId: 'm:v2', fencingNumber: 3}};
	await t.rejects(sendBaseOrder(async () => undefined), 'the base order is not sent either');
	t.same([...engine.heldAdapters().keys()], [name], 'before a base order');

	checks = 0;
	catalog.hosts.h1 = {...catalog.hosts.h1, assignment: {fleetId: 'f', versionId: 'm:v1', fencingNumber: 3}};
	catalog.fleets.f = {...catalog.fleets.f!, adapters: {keys: [], fencingNumber: 4}};
	adapters.applyCatalog(catalog);
	await adapters.runWithoutOrders(async () => undefined);
	t.ok(checks > 1);
	t.same([...engine.heldAdapters().keys()], [name], 'as a surplus one');
});

// The disk returns other bytes after the adapter's file was verified, and the
// engine reads them. No request may use that adapter, and it must be fetched
// again: otherwise the host would order the same file again and again.
t.test('an adapter whose file changes after its verification is repaired', {timeout: 30_000}, async t => {
	const {engine, adapters, catalog, loadBase, sendBaseOrder, tag} = await setUp(t, {engineCheckMs: 50});
	await sendBaseOrder(loadBase);
	adapters.applyCatalog(catalog);
	await waitUntil('the adapter is loaded', () => adapters.readyIds().length === 1);
	const {digest} = engine.heldAdapters().get(name)!;
	const file = await open((engine.adapterOrders[0] as {readonly filePath: string}).filePath, 'r+');
	await file.write(new Uint8Array([99]), 0, 1, 1500);
	await file.close();
	engine.dropAdapter(name);
	await sendBaseOrder(async () => undefined);
	t.not(engine.heldAdapters().get(name)?.digest, digest, 'the engine has read other bytes');
	t.equal(adapters.acquire(tag), null);
	await waitUntil('the adapter is loaded again', () => adapters.readyIds().length === 1, {timeoutMs: 10_000});
	t.equal(engine.heldAdapters().get(name)?.digest, digest);
});
