import {setTimeout as delay} from 'node:timers/promises';
import {createRandom, type RequestFingerprint} from '@bitternpaddle/coordination';
import {silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {createCrashingFleet, type EngineBehavior} from './support/crashing-fleet.js';
import {
	createGatewayMetrics, createRequestQuarantine, type QuarantinedRequest, type RequestQuarantine,
} from '@bitternpaddle/gateway';

const crashing = 'write the handover';
const stableMs = 3000;
const allowedSends = 3;

const crashAfter = (events: number): EngineBehavior => ({
	type: 'crash', afterMs: 30, events, framing: 'connection', closesConnections: true,
});

// Guards against recording a completed run when an engine crashes behind a whole event of an answer without a length.
t.test('a request that crashes its endpoints at the end of an event is soon refused', async t => {
	const fleet = await createCrashingFleet(t, {
		entryCount: 2, engineCount: 8, behaviorOf: body => body === crashing ? crashAfter(1) : {type: 'stream', pauseMs: 10, framing: 'connection'},
	});
	for (let repeat = 0; fleet.ends.length < 3; repeat++) {
		await fleet.call(`repeat-${repeat}`, crashing, {entry: repeat % 2});
	}

	await delay(stableMs);
	const before = fleet.arrivalsOf(crashing).length;
	const statuses: number[] = [];
	for (let repeat = 0; repeat < 8; repeat++) {
		const {status} = await fleet.call(`late-${repeat}`, crashing, {entry: repeat % 2});
		statuses.push(status);
	}

	const sends = fleet.arrivalsOf(crashing).length - before;
	t.ok(sends <= allowedSends, `${sends} sends after the third crash, ${allowedSends} allowed`);
	t.same(statuses.slice(-2), [400, 400]);
});

// Guards against an empty answer with status 200 when an engine crashes before its first event.
t.test('a stream that ends with its connection before its first event is continued at another engine', async t => {
	let starts = 0;
	const fleet = await createCrashingFleet(t, {
		engineCount: 4, behaviorOf(body) {
			starts += body === crashing ? 1 : 0;
			return body === crashing && starts === 1 ? crashAfter(0) : {type: 'stream', pauseMs: 10, framing: 'connection'};
		},
	});
	const {status, text} = await fleet.call('first', crashing);
	t.equal(status, 200);
	t.match(text, /word3/v);
	t.equal(fleet.arrivalsOf(crashing).length, 2);
});

const request: QuarantinedRequest = {outline: () => 'outline' as ReturnType<QuarantinedRequest['outline']>, fingerprint: () => 'outline.body' as RequestFingerprint};
const endpoint = {id: 'e9', address: '10.0.0.9:80'};

type Entry = RequestQuarantine & {isRefused(): boolean; advance(ms: number): void};

/** An entry with a verdict on the request. */
const createEntry = (t: Test): Entry => {
	let nowMs = 0;
	const quarantine = createRequestQuarantine({
		peers: () => [], send: () => undefined, logger: silentLogger, metrics: createGatewayMetrics(), random: createRandom(1), nowMs: () => nowMs,
	});
	t.teardown(quarantine.close);
	for (const address of ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80']) {
		quarantine.recordDisconnect(request, address, 'begun');
		quarantine.recordExit(address);
	}

	const entry: Entry = {
		...quarantine, isRefused: () => quarantine.verdictOn(request) !== null,
		advance(ms) {
			nowMs += ms;
		},
	};
	t.ok(entry.isRefused());
	entry.advance(100);
	entry.recordConnectionEnd(request, endpoint, 'answering');
	t.ok(entry.isRefused(), 'the end of a connection proves nothing');
	return entry;
};

t.test('an ended answer is complete if its endpoint answers a request that was sent later', async t => {
	const entry = createEntry(t);
	entry.recordAnswer(endpoint.id, 50);
	entry.recordAnswer('another', 200);
	t.ok(entry.isRefused(), 'neither an earlier request nor another endpoint proves it');
	entry.advance(100);
	entry.recordAnswer(endpoint.id, 150);
	t.notOk(entry.isRefused());
});

t.test('an ended answer is complete if the host of its endpoint reports on it later than reports take', async t => {
	const entry = createEntry(t);
	entry.advance(250);
	entry.recordReport(endpoint.address);
	t.ok(entry.isRefused(), 'a report may be older than the end');
	entry.advance(200);
	entry.recordReport(endpoint.address);
	t.notOk(entry.isRefused());
});

for (const [name, recordEvidence] of [
	['exits within a second', (entry: Entry) => {
		entry.advance(900);
		entry.recordExit(endpoint.address);
	}],
	['has just exited', (entry: Entry) => {
		entry.recordExit(endpoint.address);
		entry.recordConnectionEnd(request, endpoint, 'begun');
	}],
	['is not heard of any more', (entry: Entry) => {
		entry.advance(5000);
	}],
] as const) {
	t.test(`an ended answer proves nothing if its endpoint ${name}`, async t => {
		const entry = createEntry(t);
		recordEvidence(entry);
		entry.advance(1500);
		entry.recordReport(endpoint.address);
		t.ok(entry.isRefused());
	});
}
