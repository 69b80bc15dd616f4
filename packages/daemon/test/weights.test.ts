import {mkdtemp, open, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {announcementSchema, createCatalog, type Catalog} from '@bitternpaddle/state';
import {createFakeEngine, createFakeOrigin} from '@bitternpaddle/test-support';
import {fetchHttp, silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createSerialExecutor, createTransferLinks, createWeights, waitUntil,
} from '@bitternpaddle/daemon';

const onReady = (): undefined => undefined;

/** One host's weights with an engine and two versions, of which `catalogWith` assigns one. */
const setUp = async (t: Test, {checksFencing = false}: {checksFencing?: boolean} = {}) => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-weights-'));
	const origin = await createFakeOrigin();
	const engine = await createFakeEngine({checksFencing});
	const first = await origin.publish(new Uint8Array(4096).fill(1), 1024);
	const second = await origin.publish(new Uint8Array(4096).fill(2), 1024);
	const catalogWith = (versionId: 'm:v1' | 'm:v2', fencingNumber: number): Catalog => {
		const catalog = createCatalog();
		for (const [id, {manifestId}] of [['m:v1', first], ['m:v2', second]] as const) {
			catalog.versions[id] = {versionId: id, manifestId, isWithdrawn: false};
		}

		catalog.hosts.h1 = {
			announcement: announcementSchema.parse({
				hostId: 'h1', zoneId: 'z', regionId: 'r', serviceId: 's', provider: 'p', address: '127.0.0.1:1', capacity: 1, incarnation: 1, kind: 'engine',
			}),
			status: 'serving', readyVersionId: null, assignment: {fleetId: 'f', versionId, fencingNumber},
		};
		return catalog;
	};

	const host = {hasLease: true, pauses: 0};
	const runOrder = createSerialExecutor();
	const links = createTransferLinks({
		inBytesPerSecond: null, outBytesPerSecond: null, hasStore: false, gateLoad: () => ({running: 0, capacity: 1}),
	});
	const weights = createWeights({
		hostId: 'h1', zoneId: 'z', regionId: 'r', folder, sources: {origin: origin.address, store: null}, originCopies: 1, links, selfAddress: () => '127.0.0.1:1',
		logger: silentLogger, endpointAddress: engine.address, engineCheckMs: 50, hasLease: () => host.hasLease, onReady,
		async pauseRequests(change) {
			await runOrder(async () => {
				host.pauses++;
				await change();
			});
		},
	});
	t.teardown(async () => {
		await weights.close();
		links.close();
		await Promise.all([engine.close(), origin.close()]);
		await rm(folder, {recursive: true, force: true});
	});
	const waitUntilLoaded = async (versionId: string, digest: string): Promise<void> =>
		waitUntil(`${versionId} is loaded`, () => weights.loaded()?.versionId === versionId && engine.heldDigest() === digest, {timeoutMs: 10_000});
	return {
		engine, weights, host, catalogWith, waitUntilLoaded, firstDigest: first.manifest.wholeDigest, secondDigest: second.manifest.wholeDigest,
	};
};

const corruptFile = async (filePath: string): Promise<void> => {
	const file = await open(filePath, 'r+');
	await file.write(new Uint8Array([99]), 0, 1, 1500);
	await file.close();
};

// The disk returns other bytes after the file was verified. The engine restarts
// and loads them: without another verification, the host would order the same
// file again and again and never serve.
t.test('a file that changes after its verification is repaired', {timeout: 30_000}, async t => {
	const {engine, weights, catalogWith, waitUntilLoaded, firstDigest} = await setUp(t);
	weights.applyCatalog(catalogWith('m:v1', 1));
	await waitUntilLoaded('m:v1', firstDigest);
	await corruptFile(engine.loadedFiles[0]!);
	engine.restart();
	await waitUntil('the host notices the restart', () => weights.loaded() === null);
	await waitUntilLoaded('m:v1', firstDigest);
	t.pass();
});

// The file disappears from the path that the engine reads, while the agent still
// has it open: a verification of the open file would succeed.
t.test('a file that is removed after its verification is fetched again', {timeout: 30_000}, async t => {
	const {engine, weights, catalogWith, waitUntilLoaded, firstDigest} = await setUp(t);
	weights.applyCatalog(catalogWith('m:v1', 1));
	await waitUntilLoaded('m:v1', firstDigest);
	await rm(engine.loadedFiles[0]!);
	engine.restart();
	await waitUntil('the host notices the restart', () => weights.loaded() === null);
	await waitUntilLoaded('m:v1', firstDigest);
	t.pass();
});

// The file changes between its verification and the engine's read.
t.test('an engine that reads other bytes than were verified is not used', {timeout: 30_000}, async t => {
	const {engine, weights, catalogWith, waitUntilLoaded, secondDigest} = await setUp(t);
	weights.applyCatalog(catalogWith('m:v2', 1));
	await waitUntilLoaded('m:v2', secondDigest);
	engine.faults.loadMs = 300;
	engine.restart();
	await waitUntil('the order is accepted', () => engine.pendingLoads() === 1);
	await corruptFile(engine.loadedFiles[0]!);
	await waitUntil('the engine has read the file', () => engine.loadedFiles.length > 1);
	t.not(engine.heldDigest(), secondDigest);
	t.equal(weights.loaded(), null);
	await waitUntilLoaded('m:v2', secondDigest);
});

// The lease expires while the engine's status is read. Engines that ignore
// fencing numbers would obey the order, although another one may be in force.
t.test('no order is sent once the lease has expired', {timeout: 30_000}, async t => {
	const {engine, weights, host, catalogWith, waitUntilLoaded, firstDigest} = await setUp(t);
	engine.faults.statusMs = 300;
	weights.applyCatalog(catalogWith('m:v1', 1));
	await waitUntil('the engine is asked for its status', () => host.pauses > 0);
	host.hasLease = false;
	await waitUntil('another attempt was made', () => host.pauses > 1);
	t.same(engine.loadedFiles, []);
	host.hasLease = true;
	await waitUntilLoaded('m:v1', firstDigest);
});

// An order is executed after the assignment has changed, and the assignment
// changes back later.
t.test('a version whose order ended late can be loaded again', {timeout: 30_000}, async t => {
	const {engine, weights, catalogWith, waitUntilLoaded, firstDigest, secondDigest} = await setUp(t);
	engine.faults.loadMs = 200;
	weights.applyCatalog(catalogWith('m:v1', 1));
	await waitUntil('the order is accepted', () => engine.pendingLoads() === 1);
	weights.applyCatalog(catalogWith('m:v2', 2));
	await waitUntil('the earlier order is executed', () => engine.loadedFiles.length > 0);
	await waitUntilLoaded('m:v2', secondDigest);
	weights.applyCatalog(catalogWith('m:v1', 3));
	await waitUntilLoaded('m:v1', firstDigest);
	t.pass();
});

// An engine accepts an order, is slow to execute it, and executes a newer one
// meanwhile: the older order takes effect last.
t.test('an order that takes effect after a newer one is reverted', {timeout: 30_000}, async t => {
	const {engine, weights, catalogWith, waitUntilLoaded, firstDigest, secondDigest} = await setUp(t, {checksFencing: true});
	weights.applyCatalog(catalogWith('m:v1', 1));
	await waitUntilLoaded('m:v1', firstDigest);
	engine.faults.loadMs = 800;
	const late = fetchHttp({
		address: engine.address, method: 'POST', path: '/engine/load', idleTimeoutMs: 5000, totalTimeoutMs: 5000, limitBytes: 65_536,
		body: JSON.stringify({versionId: 'm:v1', filePath: engine.loadedFiles[0]!, fencingNumber: 1}),
	});
	await waitUntil('the engine has accepted the older order', () => engine.pendingLoads() === 1);
	engine.faults.loadMs = 0;
	weights.applyCatalog(catalogWith('m:v2', 2));
	await waitUntilLoaded('m:v2', secondDigest);
	await late;
	t.equal(engine.heldDigest(), firstDigest);
	await waitUntil('the host notices', () => weights.loaded() === null);
	await waitUntilLoaded('m:v2', secondDigest);
});

// The answer to an executed order is lost: the host reads the engine's status
// instead of ordering a second load.
t.test('an order whose answer is lost is not sent again', {timeout: 30_000}, async t => {
	const {engine, weights, catalogWith, waitUntilLoaded, firstDigest} = await setUp(t);
	engine.faults.losesOrderAnswers = true;
	weights.applyCatalog(catalogWith('m:v1', 1));
	await waitUntilLoaded('m:v1', firstDigest);
	t.equal(engine.loadedFiles.length, 1);
});
