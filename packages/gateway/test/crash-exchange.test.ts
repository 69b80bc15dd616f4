import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom, type RequestFingerprint} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createGatewayMetrics, createRequestQuarantine, decodeCrashUpdate, encodeCrashUpdate, encodeLoadMessage, type CrashUpdate, type QuarantinedRequest, type RequestQuarantine,
} from '@bitternpaddle/gateway';

const request: QuarantinedRequest = {outline: () => 'outline' as ReturnType<QuarantinedRequest['outline']>, fingerprint: () => 'outline.body' as RequestFingerprint};

/** Entries that exchange updates; a datagram is delivered if `reaches` returns `true`. */
const createEntries = (t: Test, count: number, reaches: (from: number, to: number) => boolean): RequestQuarantine[] => {
	const entries: RequestQuarantine[] = Array.from({length: count}, (_, self) => createRequestQuarantine({
		peers: () => entries.map((_other, index) => String(index)).filter(index => index !== String(self)),
		send(data, addresses) {
			for (const address of addresses.map(Number)) {
				if (reaches(self, address)) {
					entries[address]!.receive(Buffer.from(data));
				}
			}
		},
		logger: silentLogger, metrics: createGatewayMetrics(), random: createRandom(self), nowMs: () => performance.now(),
	}));
	t.teardown(() => {
		for (const entry of entries) {
			entry.close();
		}
	});
	return entries;
};

const exitDuring = (entry: RequestQuarantine, address: string): void => {
	entry.recordDisconnect(request, address, 'begun');
	entry.recordExit(address);
};

t.test('updates round-trip, and other datagrams are not decoded', async t => {
	const update: CrashUpdate = {
		sightings: [{
			fingerprint: 'a.b' as RequestFingerprint, address: '10.0.0.1:80', atMs: 900, stage: 'begun',
		}],
		condemned: ['a.b' as RequestFingerprint],
		clearances: [{fingerprint: 'c.d' as RequestFingerprint, atMs: 400}],
	};
	t.same(decodeCrashUpdate(Buffer.from(encodeCrashUpdate(update, 1000)), 1000), update);
	t.same(decodeCrashUpdate(Buffer.from(encodeCrashUpdate(update, 1000)), 5000)!.sightings[0]!.atMs, 4900, 'ages are relative to the time of receipt');
	for (const data of [Buffer.from('hello'), Buffer.alloc(0), Buffer.from(encodeLoadMessage({kind: 'near', reports: []})), Buffer.from(encodeCrashUpdate(update, 1000)).subarray(0, 9)]) {
		t.equal(decodeCrashUpdate(data, 1000), null);
	}
});

t.test('three exits, each seen by a different entry, are known to all entries immediately', async t => {
	const entries = createEntries(t, 4, () => true);
	for (const index of [0, 1, 2]) {
		exitDuring(entries[index]!, `10.0.0.${index}:80`);
	}

	t.ok(entries.every(entry => entry.verdictOn(request) !== null));
});

// Guards against an entry that cannot be reached by the entries that saw the crashes and
// so misses their updates: another entry must send them again.
t.test('an entry that missed all updates receives them from another one', async t => {
	const entries = createEntries(t, 4, (from, to) => to !== 3 || from === 2);
	for (const [index, address] of ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'].entries()) {
		exitDuring(entries[index % 2]!, address);
	}

	t.equal(entries[3]!.verdictOn(request), null);
	while (entries[3]!.verdictOn(request) === null) {
		await delay(50);
	}

	t.pass('the verdict is known without having seen a crash');
});

t.test('a completed run lifts the verdict at every entry', async t => {
	const entries = createEntries(t, 3, () => true);
	for (const index of [0, 1, 2]) {
		exitDuring(entries[0]!, `10.0.0.${index}:80`);
	}

	await delay(5);
	entries[1]!.recordCompletion(request);
	await delay(1200);
	t.ok(entries.every(entry => entry.verdictOn(request) === null), 'also after updates are repeated');
});

t.test('copies in progress are stopped once, at every entry', async t => {
	const entries = createEntries(t, 2, () => true);
	const stopped: number[] = [];
	for (const [index, entry] of entries.entries()) {
		entry.watch(request, () => {
			stopped.push(index);
		});
	}

	const unwatch = entries[1]!.watch(request, () => {
		stopped.push(7);
	});
	unwatch();
	for (const index of [0, 1, 2, 3]) {
		exitDuring(entries[0]!, `10.0.0.${index}:80`);
	}

	t.equal(stopped.length, 2);
	t.same(new Set(stopped), new Set([0, 1]));
});
