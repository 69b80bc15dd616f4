import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createRandom, promptPart, type PromptPart, type RequestFingerprint,
} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createGatewayMetrics, createRequestQuarantine, decodePartUpdate, encodeLoadMessage, encodePartUpdate, type PartUpdate, type QuarantinedRequest, type RequestQuarantine,
} from '@bitternpaddle/gateway';

const part = (id: string): PromptPart => promptPart('org/model', id);

const requestWith = (name: string, ids: readonly string[]): QuarantinedRequest => ({
	outline: () => name as ReturnType<QuarantinedRequest['outline']>, fingerprint: () => `${name}.digest-of-${name}` as RequestFingerprint, promptParts: () => ids.map(id => part(id)),
});

type Fleet = {
	readonly entries: RequestQuarantine[];
	readonly datagrams: Uint8Array[];
	advance(ms: number): void;
};

/** Entries that exchange updates; a datagram is delivered if `reaches` returns `true`. */
const createFleet = (t: Test, count: number, reaches: (from: number, to: number) => boolean = () => true): Fleet => {
	let aheadMs = 0;
	const datagrams: Uint8Array[] = [];
	const entries: RequestQuarantine[] = Array.from({length: count}, (_, self) => createRequestQuarantine({
		selfAddress: `entry-${self}`, peers: () => entries.map((_other, index) => String(index)).filter(index => index !== String(self)),
		send(data, addresses) {
			datagrams.push(data);
			for (const address of addresses.map(Number)) {
				if (reaches(self, address)) {
					entries[address]!.receive(Buffer.from(data));
				}
			}
		},
		logger: silentLogger, metrics: createGatewayMetrics(), random: createRandom(self), nowMs: () => performance.now() + aheadMs,
	}));
	t.teardown(() => {
		for (const entry of entries) {
			entry.close();
		}
	});
	return {
		entries, datagrams,
		advance(ms) {
			aheadMs += ms;
		},
	};
};

const until = async (check: () => boolean): Promise<void> => {
	while (!check()) {
		await delay(20);
	}
};

const isRefused = (entry: RequestQuarantine): boolean => entry.verdictOn(requestWith('new', ['first', 'bad'])) !== null;

/** Requests with the bad part crash five endpoints, each seen by the next entry, while others complete. */
const crashFive = ({entries, advance}: Fleet, seenBy: readonly number[]): void => {
	for (let index = 0; index < 5; index++) {
		const entry = entries[seenBy[index % seenBy.length]!]!;
		const address = `10.0.0.${index}:80`;
		entry.recordDisconnect(requestWith(`bad${index}`, ['first', 'bad']), address, 'begun');
		entry.recordDisconnect(requestWith(`sound${index}`, ['first', `theme${index}`]), address, 'answering');
		entry.recordExit(address);
		for (let run = 0; run < 4; run++) {
			entry.recordCompletion(requestWith(`run${index}-${run}`, ['first', `other${run}`]), '10.0.9.9:80');
		}

		advance(300);
	}
};

t.test('updates round-trip, and other datagrams are not decoded', async t => {
	const update: PartUpdate = {
		sightings: [{
			address: '10.0.0.1:80', atMs: 900, request: 'digest', parts: [part('a1'), part('b2')], seenBy: '10.0.1.1:7700', isFresh: true,
		}],
		verdicts: [{
			parts: [part('b2')], sinceMs: 500, evidence: [{address: '10.0.0.1:80', atMs: 900, seenBy: '10.0.1.1:7700'}], untilMs: 9000,
		}],
		completions: [{part: part('a1'), atMs: 950}],
		counts: [{model: 'org/model', count: 7, fromMs: 600}],
	};
	const data = Buffer.from(encodePartUpdate(update, 1000));
	t.same(decodePartUpdate(data, 1000), update);
	t.same(decodePartUpdate(data, 5000)!.sightings[0]!.atMs, 4900, 'ages are relative to the time of receipt');
	const others = [Buffer.from('hello'), Buffer.alloc(0), Buffer.from(encodeLoadMessage({kind: 'near', reports: []})), data.subarray(0, 20), Buffer.concat([data, data])];
	t.same(others.map(other => decodePartUpdate(other, 1000)), others.map(() => null));
});

t.test('exits seen by different entries condemn a part at all of them, and no other request is refused', async t => {
	const fleet = createFleet(t, 4);
	crashFive(fleet, [0, 1, 2]);
	await until(() => fleet.entries.every(entry => isRefused(entry)));
	for (const entry of fleet.entries) {
		const verdict = entry.verdictOn(requestWith('new', ['first', 'bad']));
		t.match(verdict, {type: 'part', parts: ['org/model/bad']});
		t.ok(verdict!.evidence.length >= 4);
		t.equal(entry.verdictOn(requestWith('sound0', ['first', 'theme0'])), null);
	}
});

t.test('an entry that missed all updates receives the verdict from another one', async t => {
	const fleet = createFleet(t, 4, (from, to) => to !== 3 || from === 2);
	crashFive(fleet, [0, 1]);
	await until(() => isRefused(fleet.entries[3]!));
	t.pass();
});

t.test('requests in progress are stopped when a part of their prompts is condemned', async t => {
	const fleet = createFleet(t, 2);
	const stopped: string[] = [];
	for (const [name, ids] of [['bad', ['first', 'bad']], ['sound', ['first', 'theme1']]] as const) {
		fleet.entries[1]!.watch(requestWith(name, ids), () => {
			stopped.push(name);
		});
	}

	crashFive(fleet, [0]);
	await until(() => isRefused(fleet.entries[1]!));
	t.same([...new Set(stopped)], ['bad']);
});

t.test('a completed run lifts the verdict at every entry', async t => {
	const fleet = createFleet(t, 3);
	crashFive(fleet, [0]);
	await until(() => fleet.entries.every(entry => isRefused(entry)));
	fleet.entries[1]!.recordCompletion(requestWith('repaired', ['bad']), '10.0.9.9:80');
	await until(() => !fleet.entries.some(entry => isRefused(entry)));
	await delay(1200);
	t.notOk(fleet.entries.some(entry => isRefused(entry)), 'also after updates are repeated');
});

t.test('nothing is sent while no endpoint exits, and datagrams fit into a packet afterwards', async t => {
	const fleet = createFleet(t, 2);
	for (let run = 0; run < 10_000; run++) {
		fleet.entries[0]!.recordCompletion(requestWith(`run${run}`, [`part${run}`]), '10.0.9.9:80');
	}

	await delay(600);
	t.equal(fleet.datagrams.length, 0);
	for (let run = 0; run < 40; run++) {
		fleet.entries[0]!.recordDisconnect(requestWith(`run${run}`, Array.from({length: 6}, (_, index) => `${run}${index}aaaa`)), '10.0.0.1:80', 'begun');
	}

	fleet.entries[0]!.recordExit('10.0.0.1:80');
	t.ok(fleet.datagrams.length > 0);
	t.ok(fleet.datagrams.every(({length}) => length <= 1400), `${Math.max(...fleet.datagrams.map(({length}) => length))} bytes`);
});
