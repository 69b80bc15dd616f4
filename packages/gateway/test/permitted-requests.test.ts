import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {
	completeStream, configurationWith, createZonedFleet, type EndpointBehavior,
} from './support/zoned-fleet.js';

type Fleet = Awaited<ReturnType<typeof createZonedFleet>>;

/** Brings a rule into force that permits only the endpoints of one zone; resolves once the entry knows it. */
type PermitOnly = (fleet: Fleet, zoneId: string) => Promise<void>;

const restrict: PermitOnly = async ({state, eventsOf, until}, zoneId) => {
	state.configuration = configurationWith(state.configuration.number + 1, [zoneId.replace('z', 'r')]);
	const {number} = state.configuration;
	await until(() => eventsOf('BP4003').some(fields => fields.number === number));
};

const evacuateZones = async ({state, eventsOf, until}: Fleet, zoneIds: readonly string[]): Promise<void> => {
	const revision = state.evacuations!.revision + 1;
	state.evacuations = {revision, zoneIds: [...zoneIds]};
	await until(() => [...eventsOf('BP4050'), ...eventsOf('BP4051')].some(fields => fields.revision === revision));
};

const evacuate: PermitOnly = async (fleet, zoneId) => evacuateZones(fleet, ['z1', 'z2'].filter(other => other !== zoneId));

/** Each rule, with a path that it applies to, and what tells the caller and the operator of it. */
const rules = [
	{
		name: 'region', permitOnly: restrict, path: '/listed/x', reason: 'no endpoint is in a region that its route and team allow', counter: 'region_refusals_total 2', fields: {routeRegions: ['r3']},
	},
	{
		name: 'evacuation', permitOnly: evacuate, path: '/', reason: 'every endpoint is in an evacuated zone', counter: 'evacuated_refusals_total 2', fields: {evacuatedZones: ['z1', 'z2']},
	},
];

// What happens to a request at an endpoint of the near zone z1 when the rule excludes the zone meanwhile.
const ways: Array<{readonly behavior: EndpointBehavior; readonly name: string; readonly zones: readonly string[]}> = [
	{behavior: 'refuse', name: 'a retry leaves', zones: ['z1', 'z2']},
	{behavior: 'cut', name: 'a resumed stream leaves', zones: ['z1', 'z2']},
	{behavior: 'stall', name: 'the alternative to a silent stream is outside of', zones: ['z1', 'z2']},
	{behavior: 'hang', name: 'the alternative to a silent endpoint is outside of', zones: ['z1', 'z2']},
	{behavior: 'slow', name: 'a stream that runs is finished in', zones: ['z1']},
];

for (const {name: rule, permitOnly, path, reason, counter, fields} of rules) {
	// Guards against another endpoint of an excluded zone being the best one for a further attempt.
	for (const {behavior, name, zones} of ways) {
		t.test(`${rule}: ${name} an excluded zone`, async t => {
			const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z1', 'z1', 'z2']});
			fleet.behaviors.fill(behavior, 0, 3);
			const answer = fleet.call('running', {path});
			await fleet.until(() => fleet.zonesOf('running').length > 0);
			await permitOnly(fleet, 'z2');
			t.match(await answer, {status: 200, text: completeStream});
			t.same(fleet.zonesOf('running'), zones);
		});
	}

	// Guards against judging a waiting request by the rules of its arrival.
	/** The callers wait for 0.7 s at most, which a stalled machine may exceed before the rule changes; then the requests are sent again to a new fleet. */
	const changeWhileWaiting = async (t: Test) => {
		for (;;) {
			const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2']});
			await permitOnly(fleet, 'z1');
			fleet.behaviors[0] = 'pause';
			const paused = fleet.call('paused', {path});
			await fleet.until(() => fleet.eventsOf('BP4028', 'paused').length > 0);
			const waiting = fleet.call('waiting', {path});
			await fleet.until(() => fleet.eventsOf('BP4028', 'waiting').length > 0 || fleet.eventsOf('BP4021', 'waiting').length > 0);
			await permitOnly(fleet, 'z2');
			if (['paused', 'waiting'].every(body => fleet.eventsOf('BP4021', body).length === 0)) {
				return {fleet, paused, waiting};
			}

			await Promise.all([paused, waiting]);
		}
	};

	t.test(`${rule}: a waiting request follows a change, and first attempts follow it as well`, async t => {
		const {fleet, paused, waiting} = await changeWhileWaiting(t);
		t.same([(await paused).status, (await waiting).status, (await fleet.call('first', {path})).status], [200, 200, 200]);
		t.same([fleet.zonesOf('paused'), fleet.zonesOf('waiting'), fleet.zonesOf('first')], [['z1', 'z2'], ['z2'], ['z2']]);
	});

	t.test(`${rule}: a request that no endpoint may serve is refused at once, with the reason`, async t => {
		const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2']});
		fleet.behaviors[0] = 'cut';
		const broken = fleet.call('broken', {path});
		await fleet.until(() => fleet.zonesOf('broken').length > 0);
		await permitOnly(fleet, 'z3');
		t.equal((await broken).status, 0, 'a stream that breaks ends incomplete');
		t.match(fleet.eventsOf('BP4048', 'broken'), [{cause: 'attempt', reason}]);
		t.match(await fleet.call('nowhere', {path}), {status: 503, text: reason, headers: {'retry-after': '1.50'}});
		const [refusal] = fleet.eventsOf('BP4021', 'nowhere');
		t.match(refusal, {reason, ...fields, sent: 0});
		t.ok(Number(refusal!.heldMs) < 100, `held for ${String(refusal!.heldMs)} ms`);
		t.same(fleet.zonesOf('nowhere'), []);
		t.ok((await fleet.metrics.text()).includes(counter));
	});
}

t.test('the lists of route and team apply to their requests only, and exclude unknown zones', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2', 'z3', 'elsewhere'], configuration: configurationWith(1, ['r2'], ['r3', 'elsewhere'])});
	for (const [body, path, zones] of [['route', '/listed/x', ['z2']], ['team', '/keyed/x', ['z3']], ['free', '/', ['z1']]] as const) {
		await Promise.all(Array.from({length: 5}, async () => fleet.call(body, {path, key: 'k'})));
		t.same([...new Set(fleet.zonesOf(body))], zones);
	}

	t.match(fleet.eventsOf('BP4023', 'team')[0], {teamRegions: ['r3', 'elsewhere']});
	t.notOk('routeRegions' in fleet.eventsOf('BP4023', 'free')[0]!, 'requests without a list have no such field');
});

// Guards against returning to an evacuated zone when the core is lost.
t.test('an entry that is disconnected while a zone is evacuated keeps to the last known zones', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2']});
	await evacuate(fleet, 'z2');
	fleet.stopCore();
	await delay(1500);
	t.equal((await fleet.call('keyless')).status, 200);
	t.same(fleet.zonesOf('keyless'), ['z2']);
	t.match(await fleet.call('keyed', {path: '/keyed/x', key: 'k'}), {status: 503, text: /keys in force/v}, 'requests with a key follow the key lease');
	await fleet.startCore();
	await evacuateZones(fleet, ['z1', 'z2']);
	t.match(await fleet.call('reconnected'), {status: 503, text: /evacuated zone/v});
});

// Guards against sending into an evacuated zone in the first moments of an entry, which has heard of no evacuation.
t.test('an entry that starts into an evacuation sends nothing until the evacuated zones are confirmed', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], isConfirmed: false});
	const first = await fleet.call('first');
	t.match(first, {status: 503, text: /evacuated zones are not surely known/v});
	t.ok(Number(first.headers['retry-after']) >= 1, `retry after ${first.headers['retry-after']} s`);
	const startedAtMs = performance.now();
	t.equal((await fleet.call('impatient', {deadlineMs: 1000})).status, 503);
	const tookMs = performance.now() - startedAtMs;
	t.ok(tookMs > 300 && tookMs < 600, `a caller's retry waits for about a third of its time: ${Math.round(tookMs)} of 1000 ms`);
	t.equal(fleet.entryNode.isReady(), false);
	const retry = fleet.call('retry', {deadlineMs: 2500});
	await delay(200);
	Object.assign(fleet.state, {isConfirmed: true, evacuations: {revision: 1, zoneIds: ['z1']}});
	t.equal((await retry).status, 200);
	t.same([fleet.zonesOf('first'), fleet.zonesOf('impatient'), fleet.zonesOf('retry')], [[], [], ['z2']]);
	t.match(fleet.eventsOf('BP4054'), [{zoneIds: ['z1'], revision: 1}]);
	t.equal(fleet.entryNode.isReady(), true);
});

// Guards against taking a core host that knows of no evacuations for one that knows that there are none.
t.test('a core host of a version without evacuations confirms none, and serves a deployment without them', async t => {
	for (const [evacuationMs, status] of [[5000, 503], [null, 200]] as const) {
		const fleet = await createZonedFleet(t, {zoneIds: ['z1'], evacuations: null, evacuationMs});
		await fleet.until(() => fleet.eventsOf('BP4006').length > 0);
		t.equal((await fleet.call('a')).status, status);
	}
});

/** A zone that moves to another region right after the next selection of an endpoint. */
class MovingZones extends Map<string, string> {
	isMoving = false;
	override get(zoneId: string): string | undefined {
		if (this.isMoving) {
			queueMicrotask(() => {
				this.set('z1', 'elsewhere');
			});
		}

		return super.get(zoneId);
	}
}

// Guards against sending a request by a rule that no longer applies when its connection is ready.
t.test('a request whose endpoint is excluded between selection and sending goes to another one', async t => {
	const regionsByZone = new MovingZones([['z1', 'r1'], ['z2', 'r1']]);
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], configuration: configurationWith(1, ['r1']), regionsByZone});
	regionsByZone.isMoving = true;
	t.match(await fleet.call('moved', {path: '/listed/x'}), {status: 200, text: completeStream});
	t.same(fleet.zonesOf('moved'), ['z2']);
	t.match(fleet.eventsOf('BP4055'), [{requestId: 'moved', zoneId: 'z1', exclusion: 'region'}]);
	t.match(await fleet.metrics.text(), /attempts_total\{service="s",outcome="excluded"\} 1/v);
});

// Guards against sending a request with a key that may have been revoked while the entry was suspended, after it had
// selected an endpoint and before the connection was ready.
t.test('a request whose key is no longer confirmed when its connection is ready is not sent', async t => {
	let suspendedMs = 0;
	const fleet = await createZonedFleet(t, {
		zoneIds: ['z1'], clock: {nowMs: () => performance.now() + suspendedMs},
		onEvent(event) {
			if (event === 'BP4023') {
				suspendedMs = 5000;
			}
		},
	});
	await fleet.until(() => fleet.eventsOf('BP4006').length > 0);
	t.equal((await fleet.call('keyed', {path: '/keyed/x', key: 'k'})).status, 503);
	t.same(fleet.zonesOf('keyed'), []);
	t.match(fleet.eventsOf('BP4055'), [{requestId: 'keyed', exclusion: 'key'}]);
	t.equal((await fleet.call('public')).status, 200, 'a request without a key is served');
});

// Guards against a body leaving the permitted regions by way of the messages between hosts. The request crashes
// endpoints, which causes all notices that entries exchange about a request.
t.test('no message to another host carries a body or a part of it', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z2', 'z2', 'z2'], configuration: configurationWith(1, ['r2'])});
	const body = `crashes ${Array.from({length: 4000}, (_, index) => `secret-${index}`).join(' ')}`;
	fleet.behaviors.fill('cut');
	for (const endpoint of fleet.endpoints) {
		await fleet.call(body, {path: '/listed/x'});
		endpoint.destroy();
		await fleet.call('finds-it-gone', {path: '/listed/x'});
	}

	t.ok(fleet.datagrams.some(data => data.includes('crash')), 'the other entry was told of the request');
	t.ok(fleet.received.some(data => data.includes('gateway.watch')), 'messages to the core host were recorded');
	t.notOk([...fleet.datagrams, ...fleet.received].some(data => data.includes('secret-')));
	t.ok(Math.max(...fleet.datagrams.map(data => data.length)) < 1500, 'a datagram is far smaller than the body');
	t.notOk(JSON.stringify(fleet.events).includes('secret-'), 'nor does a log line');
});
