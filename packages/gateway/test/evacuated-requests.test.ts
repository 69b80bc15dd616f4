import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {completeStream, createZonedFleet, type LoggedEvent} from './support/zoned-fleet.js';

const evacuationMs = 5000;
const evacuatedReason = /every endpoint is in an evacuated zone/v;
/** Every connected entry stops sending into an evacuated zone within this time. */
const propagationMs = 1000;

type Fleet = Awaited<ReturnType<typeof createZonedFleet>>;

/** Evacuates zones and resolves once the entry has logged that it knows. */
const evacuate = async (fleet: Fleet, ...zoneIds: string[]): Promise<void> => {
	const revision = (fleet.state.evacuations?.revision ?? 0) + 1;
	fleet.state.evacuations = {revision, zoneIds};
	const isKnown = ({event, fields}: LoggedEvent): boolean => (event === 'BP4050' || event === 'BP4051') && fields.revision === revision;
	while (!fleet.events.some(logged => isKnown(logged))) {
		await delay(5);
	}
};

t.test('first attempts leave an evacuated zone in time, and return to it afterwards', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], evacuationMs});
	const orderedAtMs = performance.now();
	await evacuate(fleet, 'z1');
	t.ok(performance.now() - orderedAtMs < propagationMs);
	for (let index = 0; index < 10; index++) {
		t.equal((await fleet.call('evacuated')).status, 200);
	}

	t.same([...new Set(fleet.zonesOf('evacuated'))], ['z2']);
	t.match(fleet.eventsOf('BP4023').find(({requestId}) => requestId === 'evacuated'), {evacuatedZones: ['z1']});
	await evacuate(fleet);
	await fleet.call('back');
	t.same(fleet.zonesOf('back'), ['z1'], 'the nearest zone');
});

t.test('a request is refused at once if every endpoint is in an evacuated zone', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], evacuationMs});
	await evacuate(fleet, 'z1', 'z2');
	t.match(await fleet.call('nowhere'), {status: 503, text: evacuatedReason, headers: {'retry-after': '1.50'}});
	const refusal = fleet.eventsOf('BP4021').find(({requestId}) => requestId === 'nowhere');
	t.match(refusal, {reason: evacuatedReason, evacuatedZones: ['z1', 'z2'], sent: 0});
	t.ok(Number(refusal!.heldMs) < 100);
	t.match(await fleet.metrics.text(), /bitternpaddle_evacuated_refusals_total 1/v);
});

// Guards against giving an answer up that only needs to be finished.
t.test('a stream that runs in a zone finishes there when the zone is evacuated', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], evacuationMs});
	fleet.behaviors[0] = 'slow';
	const running = fleet.call('running');
	await fleet.arrivalOf('running');
	await evacuate(fleet, 'z1');
	t.match(await running, {status: 200, text: completeStream});
	t.same(fleet.zonesOf('running'), ['z1']);
});

t.test('a stream that breaks in an evacuated zone is resumed outside of it', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z1', 'z2'], evacuationMs});
	fleet.behaviors.fill('cut', 0, 2);
	const broken = fleet.call('broken');
	await fleet.arrivalOf('broken');
	await evacuate(fleet, 'z1');
	t.match(await broken, {status: 200, text: completeStream});
	t.same(fleet.zonesOf('broken'), ['z1', 'z2']);
});

// Guards against an alternative attempt in the zone whose evacuation caused the silence.
t.test('the alternative to a silent endpoint is outside the evacuated zone', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z1', 'z2'], evacuationMs});
	fleet.behaviors.fill('stall', 0, 2);
	const stalled = fleet.call('stalled');
	await fleet.arrivalOf('stalled');
	await evacuate(fleet, 'z1');
	t.match(await stalled, {status: 200, text: completeStream});
	t.same(fleet.zonesOf('stalled'), ['z1', 'z2']);
});

t.test('a request that waits for an endpoint is not sent there once its zone is evacuated', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1'], evacuationMs});
	fleet.behaviors[0] = 'pause';
	const first = fleet.call('pauses z1');
	await fleet.waitOf('pauses z1');
	const waiting = fleet.call('waiting');
	await fleet.waitOf('waiting');
	await evacuate(fleet, 'z1');
	t.match(await waiting, {status: 503, text: evacuatedReason});
	t.match(await first, {status: 503, text: evacuatedReason}, 'a retry neither');
	t.same(fleet.zonesOf('waiting'), []);
});

// Guards against returning to an evacuated zone when the core is lost.
t.test('an entry that is disconnected while a zone is evacuated keeps to the last known zones', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], evacuationMs, revocationMs: 1000});
	await evacuate(fleet, 'z1');
	fleet.stopCore();
	fleet.state.evacuations = {revision: 2, zoneIds: ['z1', 'z2']};
	await delay(1200);
	t.equal((await fleet.call('without key')).status, 200);
	t.same(fleet.zonesOf('without key'), ['z2']);
	t.match(await fleet.call('with key', {path: '/keyed/x', key: 'k'}), {status: 503, text: /keys in force/v}, 'requests with a key follow the key lease');
	await fleet.startCore();
	while (fleet.eventsOf('BP4050').length < 2) {
		await delay(10);
	}

	t.match(await fleet.call('reconnected'), {status: 503, text: evacuatedReason});
});

// Guards against sending into an evacuated zone in the first moments of an entry, which has heard of no evacuation.
t.test('an entry that starts into an evacuation sends nothing until the evacuated zones are confirmed', async t => {
	const fleet = await createZonedFleet(t, {
		zoneIds: ['z1', 'z2'], evacuationMs, awaitsReadiness: false, initial: {isConfirmed: false, evacuations: {revision: 0, zoneIds: []}},
	});
	while (fleet.eventsOf('BP4003').length === 0) {
		await delay(5);
	}

	const first = await fleet.call('first attempt');
	t.match(first, {status: 503, text: /evacuated zones/v});
	t.ok(Number(first.headers['retry-after']) >= 1, `retry after ${first.headers['retry-after']} s`);
	t.equal(fleet.entryNode.isReady(), false);
	const retry = fleet.call('retry', {deadlineMs: 2500});
	await delay(200);
	t.same(fleet.zonesOf('retry'), [], 'a retry of a caller waits');
	fleet.state.evacuations = {revision: 1, zoneIds: ['z1']};
	fleet.state.isConfirmed = true;
	t.equal((await retry).status, 200);
	t.same(fleet.zonesOf('retry'), ['z2']);
	t.match(fleet.eventsOf('BP4054'), [{zoneIds: ['z1'], revision: 1}]);
	t.equal(fleet.entryNode.isReady(), true);
});

t.test('a retry does not wait longer than about a third of its time for the evacuated zones', async t => {
	const fleet = await createZonedFleet(t, {
		zoneIds: ['z1'], evacuationMs, awaitsReadiness: false, initial: {isConfirmed: false},
	});
	while (fleet.eventsOf('BP4003').length === 0) {
		await delay(5);
	}

	const startedAtMs = performance.now();
	t.match(await fleet.call('retry', {deadlineMs: 1000}), {status: 503, text: /evacuated zones/v});
	const tookMs = performance.now() - startedAtMs;
	t.ok(tookMs > 300 && tookMs < 600, `${Math.round(tookMs)} ms`);
	t.same(fleet.zonesOf('retry'), []);
});

// Guards against taking a core host that knows no evacuations for one that knows that there are none.
t.test('a core host of a version without evacuations does not confirm them', async t => {
	const fleet = await createZonedFleet(t, {
		zoneIds: ['z1'], evacuationMs, awaitsReadiness: false, initial: {evacuations: null},
	});
	while (fleet.eventsOf('BP4006').length === 0) {
		await delay(5);
	}

	t.equal((await fleet.call('a')).status, 503);
	t.equal(fleet.entryNode.isReady(), false);
});

t.test('a deployment without evacuations serves without waiting for them', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1'], evacuationMs: null, initial: {evacuations: null}});
	t.equal((await fleet.call('a')).status, 200);
});
