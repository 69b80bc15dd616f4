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

/** Hosts that know of each other, before any transfer has started. */
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

const startAll = async ({hosts, version}: Pick<Burst, 'hosts' | 'version'>): Promise<void> => {
	await Promise.all(hosts.map(async host => host.start(version, peersOf(hosts))));
};

const storedChunks = (host: MeshHost, {manifestId}: MeshVersion): number => host.stores.get(manifestId)?.heldChunks().length ?? 0;

const waitUntilComplete = async (t: Test, hosts: readonly MeshHost[], version: MeshVersion): Promise<void> => {
	await waitUntil('all hosts have all chunks', () => hosts.every(host => host.stores.get(version.manifestId)?.isComplete() === true));
	for (const host of hosts) {
		t.ok(await host.stores.get(version.manifestId)!.verifyComplete(), `${host.peer.hostId} has the right bytes`);
	}
};

const copiesFromOrigin = ({origin}: Burst): number => origin.sentBytes() / sizeBytes;

const slowLink = {inBytesPerSecond: 512 * 1024, outBytesPerSecond: 512 * 1024};

t.test('one copy leaves the origin for six hosts', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, slowLink);
	await startAll(burst);
	await waitUntilComplete(t, burst.hosts, burst.version);
	t.ok(copiesFromOrigin(burst) <= 1.1, `${copiesFromOrigin(burst)} copies`);
});

/** Adds a peer that announces all chunks and responds to chunk requests as `answer` says. */
const addFaultyPeer = async (t: Test, {hosts, version}: Burst, answer: 'garbage' | 'nothing' | 'silence') => {
	let requests = 0;
	const server = await createHttpServer({
		listen: '127.0.0.1:0',
		async handler(request, response) {
			if (request.url!.startsWith('/chunks/')) {
				requests++;
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
	await Promise.all(hosts.map(async host => host.start(version, peers)));
	for (const host of hosts) {
		await notifyRpc({
			address: host.peer.address, method: 'agent.have', timeoutMs: 2000, params: {
				from: 'rogue', address: server.address, manifestId: version.manifestId,
				chunks: version.manifest.chunkDigests.map((_, index) => index), isGreeting: false, limitsMs: {origin: 0, store: 0},
			},
		});
	}

	return () => requests;
};

// One peer announces all chunks and sends other bytes. Each chunk is verified
// before it is stored or forwarded; after three corrupted ones the peer gets no more
// requests. All hosts end with the right bytes.
t.test('a peer that sends wrong bytes', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	const requests = await addFaultyPeer(t, burst, 'garbage');
	await waitUntilComplete(t, burst.hosts, burst.version);
	t.ok(requests() > 0, 'it received requests');
	t.ok(requests() <= burst.hosts.length * 5, `${requests()} requests: three failed ones and those in flight for each host`);
});

// One peer announces all chunks and has none.
t.test('a peer that announces what it does not have', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	const requests = await addFaultyPeer(t, burst, 'nothing');
	await waitUntilComplete(t, burst.hosts, burst.version);
	t.ok(requests() > 0 && requests() <= burst.hosts.length * 5, `${requests()} requests`);
});

// One peer accepts requests and never responds, so no error is ever reported.
// The chunks requested from it are fetched elsewhere.
t.test('a link that stalls and does not fail', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	const requests = await addFaultyPeer(t, burst, 'silence');
	await waitUntilComplete(t, burst.hosts, burst.version);
	t.ok(requests() > 0, 'it received requests');
});

// An origin fetcher crashes while it has chunks that no other host has yet. The
// others learn of the crash and fetch only those chunks from the origin again.
t.test('the host with the only copy of a chunk crashes', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, {...slowLink, origin: {bytesPerSecond: 256 * 1024}});
	await startAll(burst);
	const {hosts, version} = burst;
	await waitUntil('a host fetched a chunk from the origin', () => hosts.some(host => host.counters.get(version.manifestId)!.originBytes > 0));
	const originFetcher = hosts.find(host => host.counters.get(version.manifestId)!.originBytes > 0)!;
	await originFetcher.kill();
	const survivors = hosts.filter(host => host !== originFetcher);
	for (const host of survivors) {
		host.changePeers(peersOf(survivors));
	}

	await waitUntilComplete(t, survivors, version);
	t.ok(copiesFromOrigin(burst) <= 1.4, `${copiesFromOrigin(burst)} copies`);
});

// The origin refuses all connections for a while during the burst. Afterwards
// the burst ends with hardly more than one copy fetched from the origin: no host
// counted the outage as a failure of the origin fetchers.
t.test('the origin is down for a while', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, {...slowLink, origin: {bytesPerSecond: 512 * 1024}});
	await startAll(burst);
	await waitUntil('a quarter of a copy was fetched from the origin', () => copiesFromOrigin(burst) > 0.25);
	burst.origin.faults.isDown = true;
	await new Promise(resolve => {
		setTimeout(resolve, 3000);
	});
	burst.origin.faults.isDown = false;
	await waitUntilComplete(t, burst.hosts, burst.version);
	t.ok(copiesFromOrigin(burst) <= 1.2, `${copiesFromOrigin(burst)} copies`);
});

// A third of the hosts, one availability zone, fails at once during the burst.
t.test('an availability zone fails during a burst', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, {...slowLink, count: 9});
	await startAll(burst);
	const {hosts, version} = burst;
	await waitUntil('a third of the chunks arrived', () => hosts.every(host => storedChunks(host, version) > 20));
	const failed = hosts.filter(host => host.peer.zoneId === 'z1');
	const survivors = hosts.filter(host => host.peer.zoneId !== 'z1');
	await Promise.all(failed.map(async host => host.kill()));
	for (const host of survivors) {
		host.changePeers(peersOf(survivors));
	}

	await waitUntilComplete(t, survivors, version);
	t.ok(copiesFromOrigin(burst) <= 1.3, `${copiesFromOrigin(burst)} copies`);
});

// A host joins when all others are complete. By its rank it is an origin fetcher
// for some chunks, but it fetches nothing from the origin, because its
// neighbours announce their chunks first.
t.test('a host that joins late fetches nothing from the origin', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t);
	await startAll(burst);
	const {hosts, version, mesh} = burst;
	await waitUntilComplete(t, hosts, version);
	const late = await mesh.addHost({hostId: 'late', ...zoneOf(0)});
	const all = [...hosts, late];
	for (const host of hosts) {
		host.changePeers(peersOf(all));
	}

	await late.start(version, peersOf(all));
	await waitUntilComplete(t, [late], version);
	t.equal(late.counters.get(version.manifestId)!.originBytes, 0);
});

// A host is killed with half of the chunks, one of them partially written. After
// its restart it keeps the intact chunks, fetches the corrupted one and the
// missing ones, and never serves the corrupted one.
t.test('a host restarts with half of the chunks and a corrupted one', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, slowLink);
	await startAll(burst);
	const {hosts, version, mesh} = burst;
	await waitUntil('half of the chunks arrived', () => storedChunks(hosts[0]!, version) > 32);
	const before = hosts[0]!.stores.get(version.manifestId)!;
	const [corruptedChunk] = before.heldChunks();
	await hosts[0]!.kill();
	const file = await open(before.filePath, 'r+');
	await file.write(new Uint8Array(100), 0, 100, (corruptedChunk! * chunkSizeBytes) + 50);
	await file.close();
	const restarted = await mesh.addHost({hostId: 'h0', ...zoneOf(0)});
	const all = [restarted, ...hosts.slice(1)];
	for (const host of hosts.slice(1)) {
		host.changePeers(peersOf(all));
	}

	await restarted.start(version, peersOf(all));
	const resumed = storedChunks(restarted, version);
	t.ok(resumed >= 31, `${resumed} chunks were retained`);
	t.notOk(restarted.stores.get(version.manifestId)!.has(corruptedChunk!), 'the corrupted chunk is not used');
	await waitUntilComplete(t, all, version);
});

// Two versions are distributed to the same hosts at the same time over the same links.
t.test('two concurrent bursts', {timeout: testTimeoutMs}, async t => {
	const burst = await createBurst(t, slowLink);
	const second = await burst.origin.publish(randomWeights(6, sizeBytes), chunkSizeBytes);
	await Promise.all([startAll(burst), startAll({...burst, version: second})]);
	await waitUntilComplete(t, burst.hosts, burst.version);
	await waitUntilComplete(t, burst.hosts, second);
	t.ok(copiesFromOrigin(burst) <= 2.2, `${copiesFromOrigin(burst)} copies of two versions`);
});

// The origin is permanently down; the weight store has the same bytes and allows
// 40 requests per second. A host that is rate limited announces the backoff to
// the others, so that few requests are refused.
t.test('the rate-limited store replaces the origin', {timeout: testTimeoutMs}, async t => {
	const store = await createFakeOrigin({requestsPerSecond: 40});
	t.teardown(async () => store.close());
	await store.publish(randomWeights(5, sizeBytes), chunkSizeBytes);
	const burst = await createBurst(t, {storeAddress: store.address});
	burst.origin.faults.isDown = true;
	await startAll(burst);
	await waitUntilComplete(t, burst.hosts, burst.version);
	t.ok(store.sentBytes() / sizeBytes <= 1.1, `${store.sentBytes() / sizeBytes} copies were fetched from the store`);
	t.ok(store.refusedRequests() <= 30, `${store.refusedRequests()} requests were refused`);
});
