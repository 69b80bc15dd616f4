import {randomBytes} from 'node:crypto';
import {open} from 'node:fs/promises';
import {
	createFakeOrigin, testFolder, type FakeOrigin, type FakeOriginOptions,
} from '@bitternpaddle/test-support';
import {createHttpServer, notifyRpc, sendJson} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createTransferMesh, randomWeights, waitUntil, type MeshHost, type MeshVersion, type TransferMesh, type TransferMeshOptions,
} from '@bitternpaddle/daemon';

t.setTimeout(240_000);

const sizeBytes = 512 * 1024;
const chunkSizeBytes = 8 * 1024;

const testTimeoutMs = 60_000;

type Burst = {readonly origin: FakeOrigin; readonly mesh: TransferMesh; readonly hosts: MeshHost[]; readonly version: MeshVersion};

type BurstOptions = Partial<TransferMeshOptions> & {readonly count?: number; readonly origin?: FakeOriginOptions};

const zoneOf = (index: number): {zoneId: string; regionId: string} => ({zoneId: `z${index % 3}`, regionId: 'r1'});

const peersOf = (hosts: readonly MeshHost[]) => hosts.map(host => host.peer);

/** Hosts that know of each other and have begun nothing. */
const createBurst = async (t: Test, {count = 6, origin: originOptions, ...options}: BurstOptions = {}): Promise<Burst> => {
	const origin = await createFakeOrigin(originOptions);
	const version = await origin.publish(randomWeights(5, sizeBytes), chunkSizeBytes);
	const mesh = createTransferMesh({folder: testFolder(t), originAddress: origin.address, ...options});
	t.teardown(async () => {
		await mesh.close();
		await origin.close();
	});
	const hosts = await Promise.all(Array.from({length: count}, async (_, index) => mesh.addHost({hostId: `h${index}`, ...zoneOf(index)})));
	return {
		origin, mesh, hosts, version,
	};
};

const beginAll = async ({hosts, version}: Pick<Burst, 'hosts' | 'version'>): Promise<void> => {
	await Promise.all(hosts.map(async host => host.begin(version, peersOf(hosts))));
};

const heldOf = (host: MeshHost, {manifestId}: MeshVersion): number => host.stores.get(manifestId)?.heldChunks().length ?? 0;

const allWhole = async (t: Test, hosts: readonly MeshHost[], version: MeshVersion): Promise<void> => {
	await waitUntil('all hosts have all chunks', () => hosts.every(host => host.stores.get(version.manifestId)?.isComplete() === true));
	for (const host of hosts) {
		t.ok(await host.stores.get(version.manifestId)!.verifyWhole(), `${host.peer.hostId} has the right bytes`);
	}
};

const copies = ({origin}: Burst): number => origin.sentBytes() / sizeBytes;

const slowLink = {inBytesPerSecond: 512 * 1024, outBytesPerSecond: 512 * 1024};

t.test('one copy leaves the origin for six hosts', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, slowLink);
	await beginAll(burst);
	await allWhole(t, burst.hosts, burst.version);
	t.ok(copies(burst) <= 1.1, `${copies(burst)} copies`);
});

/** A peer that says it has everything and answers as told. */
const addRogue = async (t: Test, {hosts, version}: Burst, answer: 'garbage' | 'nothing' | 'silence') => {
	let asked = 0;
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			if (request.url!.startsWith('/chunks/')) {
				asked++;
				if (answer === 'garbage') {
					response.end(randomBytes(chunkSizeBytes));
				} else if (answer === 'nothing') {
					sendJson(response, 404, {});
				}
			} else {
				response.end();
			}
		},
	});
	t.teardown(() => {
		server.destroy();
	});
	const peer = {hostId: 'rogue', ...zoneOf(0), address: server.address};
	const peers = [...peersOf(hosts), peer];
	await Promise.all(hosts.map(async host => host.begin(version, peers)));
	for (const host of hosts) {
		await notifyRpc({
			address: host.peer.address, method: 'agent.have', timeoutMs: 2000, params: {
				from: 'rogue', address: server.address, manifestId: version.manifestId,
				chunks: version.manifest.chunkDigests.map((_, index) => index), isGreeting: false, limitsMs: {origin: 0, store: 0},
			},
		});
	}

	return () => asked;
};

// One peer announces all chunks and sends other bytes. Each is verified before
// it is stored or passed on; after three the peer is asked no more. All hosts
// end with the right bytes.
t.test('a peer that sends wrong bytes', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	const asked = await addRogue(t, burst, 'garbage');
	await allWhole(t, burst.hosts, burst.version);
	t.ok(asked() > 0, 'it was asked');
	t.ok(asked() <= burst.hosts.length * 5, `${asked()} requests: three that failed and what was on its way for each host`);
});

// One peer announces all chunks and has none.
t.test('a peer that announces what it does not have', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	const asked = await addRogue(t, burst, 'nothing');
	await allWhole(t, burst.hosts, burst.version);
	t.ok(asked() > 0 && asked() <= burst.hosts.length * 5, `${asked()} requests`);
});

// One peer takes requests and never answers; no error ever comes. The chunks
// asked of it are fetched elsewhere.
t.test('a link that stalls and does not fail', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	const asked = await addRogue(t, burst, 'silence');
	await allWhole(t, burst.hosts, burst.version);
	t.ok(asked() > 0, 'it was asked');
});

// A drawer has got chunks from the origin that nobody else has yet, and dies.
// The others learn of its death and draw just those chunks again.
t.test('death of the host with the only copy of a chunk', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, {...slowLink, origin: {bytesPerSecond: 256 * 1024}});
	await beginAll(burst);
	const {hosts, version} = burst;
	await waitUntil('a host drew a chunk', () => hosts.some(host => host.counters.get(version.manifestId)!.originBytes > 0));
	const drawer = hosts.find(host => host.counters.get(version.manifestId)!.originBytes > 0)!;
	await drawer.kill();
	const living = hosts.filter(host => host !== drawer);
	for (const host of living) {
		host.changePeers(peersOf(living));
	}

	await allWhole(t, living, version);
	t.ok(copies(burst) <= 1.4, `${copies(burst)} copies`);
});

// The origin refuses all connections for a while in mid-burst. Afterwards the
// burst ends with hardly more than one copy: nobody blamed the drawers.
t.test('the origin is cut for a while', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, {...slowLink, origin: {bytesPerSecond: 512 * 1024}});
	await beginAll(burst);
	await waitUntil('a quarter left the origin', () => copies(burst) > 0.25);
	burst.origin.faults.isDown = true;
	await new Promise(resolve => {
		setTimeout(resolve, 3000);
	});
	burst.origin.faults.isDown = false;
	await allWhole(t, burst.hosts, burst.version);
	t.ok(copies(burst) <= 1.2, `${copies(burst)} copies`);
});

// A third of the hosts, one zone, is gone at once in mid-burst.
t.test('a zone is lost in mid-burst', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, {...slowLink, count: 9});
	await beginAll(burst);
	const {hosts, version} = burst;
	await waitUntil('a third arrived', () => hosts.every(host => heldOf(host, version) > 20));
	const lost = hosts.filter(host => host.peer.zoneId === 'z1');
	const living = hosts.filter(host => host.peer.zoneId !== 'z1');
	await Promise.all(lost.map(async host => host.kill()));
	for (const host of living) {
		host.changePeers(peersOf(living));
	}

	await allWhole(t, living, version);
	t.ok(copies(burst) <= 1.3, `${copies(burst)} copies`);
});

// A host joins when all others are done. It owns chunks by rank, but draws
// nothing, because its neighbours tell it first what they have.
t.test('a host that joins late takes nothing from the origin', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	await beginAll(burst);
	const {hosts, version, mesh} = burst;
	await allWhole(t, hosts, version);
	const late = await mesh.addHost({hostId: 'late', ...zoneOf(0)});
	const all = [...hosts, late];
	for (const host of hosts) {
		host.changePeers(peersOf(all));
	}

	await late.begin(version, peersOf(all));
	await allWhole(t, [late], version);
	t.equal(late.counters.get(version.manifestId)!.originBytes, 0);
});

// A host is killed with half of the chunks, one of them half written. After
// its restart it keeps what is right, fetches the torn one and the rest again,
// and never passes the torn one on.
t.test('restart with half of the chunks and a torn one', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, slowLink);
	await beginAll(burst);
	const {hosts, version, mesh} = burst;
	await waitUntil('half arrived', () => heldOf(hosts[0]!, version) > 32);
	const before = hosts[0]!.stores.get(version.manifestId)!;
	const [torn] = before.heldChunks();
	await hosts[0]!.kill();
	const file = await open(before.filePath, 'r+');
	await file.write(new Uint8Array(100), 0, 100, (torn! * chunkSizeBytes) + 50);
	await file.close();
	const again = await mesh.addHost({hostId: 'h0', ...zoneOf(0)});
	const all = [again, ...hosts.slice(1)];
	for (const host of hosts.slice(1)) {
		host.changePeers(peersOf(all));
	}

	await again.begin(version, peersOf(all));
	const resumed = heldOf(again, version);
	t.ok(resumed >= 31, `${resumed} chunks were kept`);
	t.notOk(again.stores.get(version.manifestId)!.has(torn!), 'the torn chunk is not held');
	await allWhole(t, all, version);
});

// Two versions go to the same hosts at the same time over the same links.
t.test('two bursts against each other', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, slowLink);
	const second = await burst.origin.publish(randomWeights(6, sizeBytes), chunkSizeBytes);
	await Promise.all([beginAll(burst), beginAll({...burst, version: second})]);
	await allWhole(t, burst.hosts, burst.version);
	await allWhole(t, burst.hosts, second);
	t.ok(copies(burst) <= 2.2, `${copies(burst)} copies of two versions`);
});

// The origin is gone for good; the weight store has the same bytes and allows
// forty requests a second. Whoever is told to wait tells the others, so few
// requests are refused.
t.test('the rate-limited store stands in for the origin', {timeout: testTimeoutMs}, async t => {
	const store = await createFakeOrigin({requestsPerSecond: 40});
	t.teardown(async () => store.close());
	await store.publish(randomWeights(5, sizeBytes), chunkSizeBytes);
	const burst = await createBurst(t, {storeAddress: store.address});
	burst.origin.faults.isDown = true;
	await beginAll(burst);
	await allWhole(t, burst.hosts, burst.version);
	t.ok(store.sentBytes() / sizeBytes <= 1.1, `${store.sentBytes() / sizeBytes} copies left the store`);
	t.ok(store.refusedRequests() <= 30, `${store.refusedRequests()} requests were refused`);
});
