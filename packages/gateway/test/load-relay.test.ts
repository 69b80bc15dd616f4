import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {encode} from '@msgpack/msgpack';
import {freeAddresses} from '@bitternpaddle/test-support';
import t, {type Test} from 'tap';
import {
	createLoadListener, createLoadRelay, createLoadReporter, decodeLoadMessage, encodeLoadMessage, planRelay, reportRoutes, type LoadMessage, type LoadReport, type ZonedAddress,
} from '@bitternpaddle/gateway';

const report = (address: string, sequence = 1): LoadReport => ({
	epoch: 7, sequence, endpointAddress: address, delivery: {type: 'direct', sentAtMs: 1000}, report: {
		running: 3, queued: 1, pace: 1.25, isBusy: false, isStrained: true, readyInMs: null, weights: {
			type: 'whole', version: 2, engineId: 'i-7f3a91c2', startedAtMs: 1_764_000_000_123,
		},
	},
});

/** A datagram whose report has this item for the weights. */
const datagramWith = (item: unknown): Buffer => Buffer.from(encode([0, [['e', 7, 1, 0, 1000, 0, [3, 1, 125, false, true, item, null]]]]));

const entriesOf = (perZone: number): ZonedAddress[] => ['a', 'b', 'c'].flatMap(zoneId => Array.from({length: perZone}, (_, index) => ({address: `${zoneId}${index}`, zoneId})));

t.test('messages round-trip', async t => {
	const message: LoadMessage = {
		kind: 'digest', reports: [{...report('10.0.0.1:80'), delivery: {type: 'relayed', ageMs: 120, delayMs: 3}}, {...report('10.0.0.2:80'), report: null}],
	};
	t.same(decodeLoadMessage(Buffer.from(encodeLoadMessage(message))), message);
});

t.test('what is known of the weights round-trips', async t => {
	const {report: engine, ...rest} = report('e');
	for (const weights of [{type: 'unknown'}, {type: 'none'}, {
		type: 'whole', version: 3, engineId: null, startedAtMs: null,
	}] as const) {
		const message: LoadMessage = {kind: 'near', reports: [{...rest, report: {...engine!, weights}}]};
		t.same(decodeLoadMessage(Buffer.from(encodeLoadMessage(message))), message);
	}
});

// Guards against taking what another version of the program says of the weights for proof.
t.test('a datagram with malformed weights is not decoded', async t => {
	const {report: engine, ...rest} = report('e');
	for (const weights of [{
		type: 'whole', version: '3', engineId: null, startedAtMs: null,
	}, {
		type: 'whole', version: null, engineId: 'e', startedAtMs: 0,
	}]) {
		const message = {kind: 'near', reports: [{...rest, report: {...engine, weights}}]} as unknown as LoadMessage;
		t.equal(decodeLoadMessage(Buffer.from(encodeLoadMessage(message))), null);
	}

	for (const item of ['other', true, [], {}]) {
		t.equal(decodeLoadMessage(datagramWith(item)), null);
	}
});

// Guards against an entry that loses all reports of a datagram, or trusts an announced version, because one agent still runs the previous program.
t.test('a version from an agent that proves nothing is not a proof', async t => {
	for (const item of [null, 2]) {
		t.same(decodeLoadMessage(datagramWith(item))?.reports[0]!.report!.weights, {type: 'none'});
	}
});

t.test('other datagrams are not decoded', async t => {
	for (const data of [Buffer.from('hello'), Buffer.alloc(0), Buffer.from([0xC1]), Buffer.from(encodeLoadMessage({kind: 'near', reports: [report('x')]})).subarray(0, 12)]) {
		t.equal(decodeLoadMessage(data), null);
	}
});

// Guards against losing a zone's reports with a single relay: each zone has two relays, each of
// which sends to a different relay of every other zone, selected without coordination.
t.test('two entries of a zone relay its reports, each to its counterpart in the other zones', async t => {
	const entries = entriesOf(5);
	t.same(planRelay({address: 'a0', zoneId: 'a'}, entries), {remoteAddresses: ['b0', 'c0'], localAddresses: ['a1', 'a2', 'a3', 'a4'], relaysLocally: true});
	t.same(planRelay({address: 'a1', zoneId: 'a'}, entries), {remoteAddresses: ['b1', 'c1'], localAddresses: ['a0', 'a2', 'a3', 'a4'], relaysLocally: true});
	t.same(planRelay({address: 'a2', zoneId: 'a'}, entries), {remoteAddresses: [], localAddresses: [], relaysLocally: false});
});

t.test('a zone with one entry has no relays, and receives from both relays of another zone', async t => {
	const entries = [...entriesOf(6).filter(({zoneId}) => zoneId !== 'b'), {address: 'b0', zoneId: 'b'}];
	t.same(planRelay({address: 'b0', zoneId: 'b'}, entries).remoteAddresses, []);
	t.same(planRelay({address: 'a1', zoneId: 'a'}, entries).remoteAddresses.toSorted(), ['b0', 'c1']);
});

t.test('an entry that is not listed yet relays nothing', async t => {
	t.same(planRelay({address: 'a9', zoneId: 'a'}, entriesOf(2)).remoteAddresses, []);
});

const relayWith = (relaysLocally: boolean) => {
	const sent: LoadMessage[] = [];
	const relay = createLoadRelay({
		plan: () => ({remoteAddresses: ['b0'], localAddresses: ['a1'], relaysLocally}), delayMs: () => 5, send(message) {
			sent.push(message);
		},
	});
	return {relay, sentReports: () => sent.map(({kind, reports}) => [kind, reports.map(({endpointAddress, delivery}) => [endpointAddress, delivery.type === 'relayed' ? delivery.ageMs : null])])};
};

// Guards against relaying an outdated report while an agent is stalled: the engine would appear
// idle to all other zones for the duration of the stall.
t.test('a digest contains the ages of its reports and omits outdated ones', async t => {
	const {relay, sentReports} = relayWith(false);
	relay.receive({kind: 'near', reports: [report('e1')]}, 0);
	for (let nowMs = 100; nowMs <= 900; nowMs += 100) {
		if (nowMs === 300) {
			relay.receive({kind: 'near', reports: [report('e2')]}, 250);
			relay.receive({kind: 'far', reports: [report('e3')]}, 250);
		}

		relay.tick(nowMs);
	}

	t.same(sentReports(), [
		['digest', [['e1', 200]]],
		['digest', [['e1', 400], ['e2', 150]]],
		['digest', [['e2', 350]]],
	]);
});

// Guards against late or duplicate reports in a zone whose agents send to two entries only: the
// other entries of the zone send the most requests to its engines.
t.test('each report is relayed once to the other entries of the zone', async t => {
	const {relay, sentReports} = relayWith(true);
	relay.receive({kind: 'near', reports: [report('e1')]}, 40);
	relay.tick(100);
	relay.receive({kind: 'near', reports: [report('e2')]}, 140);
	relay.tick(200);
	relay.tick(300);
	t.same(sentReports(), [
		['passed', [['e1', 60]]],
		['passed', [['e2', 60]]],
		['digest', [['e1', 160], ['e2', 60]]],
	]);
});

t.test('an agent sends to two entries of a zone with many entries, and to all entries of a zone with few', async t => {
	const few = [...entriesOf(8).filter(({zoneId}) => zoneId !== 'a'), ...entriesOf(3).filter(({zoneId}) => zoneId === 'a')];
	t.same(reportRoutes('a', entriesOf(8)), {type: 'relayed', localAddresses: ['a0', 'a1']});
	t.same(reportRoutes('a', few), {type: 'relayed', localAddresses: ['a0', 'a1', 'a2']});
	t.same(reportRoutes('z', entriesOf(8)), {type: 'all', localAddresses: []}, 'the zone has no entries');
});

t.test('a digest of another zone is relayed to the entries of the own zone only', async t => {
	const sent: Array<[LoadMessage['kind'], readonly string[]]> = [];
	const relay = createLoadRelay({
		plan: () => ({remoteAddresses: ['b0'], localAddresses: ['a1', 'a2'], relaysLocally: true}), delayMs: () => 0, send(message, addresses) {
			sent.push([message.kind, addresses]);
		},
	});
	relay.receive({kind: 'digest', reports: [report('e1')]}, 0);
	relay.receive({kind: 'passed', reports: [report('e2')]}, 0);
	relay.tick(100);
	t.same(sent, [['passed', ['a1', 'a2']]], 'and is not part of the digest of this zone');
});

/** Starts a listener in each of the given zones and records the messages that each receives. */
const listen = async (t: Test, zoneIds: readonly string[]) => {
	const addresses = await freeAddresses(zoneIds.length);
	const received: Array<{readonly index: number; readonly kind: LoadMessage['kind']; readonly sequence: number}> = [];
	for (const [index, address] of addresses.entries()) {
		const listener = await createLoadListener({
			listen: address, onReport: () => undefined, onError: () => undefined, onMessage({kind, reports}) {
				received.push({index, kind, sequence: reports[0]!.sequence});
			},
		});
		t.teardown(listener.close);
	}

	const reporter = createLoadReporter({endpointAddress: 'e', zoneId: 'z', entries: () => addresses.map((address, index) => ({address, zoneId: zoneIds[index]!}))});
	t.teardown(reporter.close);
	const {report: engine} = report('e');
	return {
		received, of: (index: number) => received.filter(each => each.index === index).map(({kind, sequence}) => `${kind} ${sequence}`).toSorted(),
		async send(serviceChanges: readonly boolean[], expected: number) {
			for (const changesService of serviceChanges) {
				reporter.send(engine, changesService);
			}

			while (received.length < expected) {
				await delay(5);
			}

			await delay(30);
		},
	};
};

// Guards against sending requests for 100 ms to an engine that has just stopped serving: reports
// on the start or stop of service must be sent to all entries directly.
t.test('in a large fleet an agent sends all reports to its own zone, and starts and stops of service to all zones', async t => {
	const fleet = await listen(t, ['z', 'z', ...Array.from({length: 11}, () => 'y')]);
	await fleet.send([false, false, true, false], 8 + 11);
	t.same(fleet.of(1), ['near 1', 'near 2', 'near 3', 'near 4']);
	t.same(fleet.of(2), ['far 3']);
});

t.test('in a small fleet an agent sends every second report to all entries', async t => {
	const fleet = await listen(t, ['z', 'z', 'y']);
	await fleet.send([false, false, true, false], 8 + 3);
	t.same(fleet.of(1), ['near 1', 'near 2', 'near 3', 'near 4']);
	t.same(fleet.of(2), ['far 2', 'far 3', 'far 4']);
});

t.test('a report that arrives late on another path is dropped', async t => {
	const [listen, other] = await freeAddresses(2) as [string, string];
	const received: number[] = [];
	const listener = await createLoadListener({
		listen, onError: () => undefined, onMessage: () => undefined, onReport({sequence}) {
			received.push(sequence);
		},
	});
	const sender = await createLoadListener({
		listen: other, onReport: () => undefined, onError: () => undefined, onMessage: () => undefined,
	});
	t.teardown(() => {
		listener.close();
		sender.close();
	});
	for (const sequence of [3, 2, 3, 4]) {
		sender.send({kind: 'passed', reports: [report('e', sequence)]}, [listen]);
	}

	while (!received.includes(4)) {
		await delay(5);
	}

	t.same(received, [3, 4]);
});

// Guards against a late report of an agent that has ended: its successor reports that the weights are not shown to be
// whole, and the predecessor's last report, relayed or read late, makes the engine usable again.
t.test('a report of the previous start of an agent is dropped after one of the next', async t => {
	const [listen, other] = await freeAddresses(2) as [string, string];
	const received: string[] = [];
	const listener = await createLoadListener({
		listen, onError: () => undefined, onMessage: () => undefined, onReport({epoch, sequence}) {
			received.push(`${epoch} ${sequence}`);
		},
	});
	const sender = await createLoadListener({
		listen: other, onReport: () => undefined, onError: () => undefined, onMessage: () => undefined,
	});
	t.teardown(() => {
		listener.close();
		sender.close();
	});
	for (const [epoch, sequence] of [[7, 49], [5, 1], [7, 50], [5, 2]] as const) {
		sender.send({kind: 'passed', reports: [{...report('e', sequence), epoch}]}, [listen]);
	}

	while (!received.includes('5 2')) {
		await delay(5);
	}

	t.same(received, ['7 49', '5 1', '5 2']);
});
