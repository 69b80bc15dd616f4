import t from 'tap';
import {completeStream, configurationWith, createZonedFleet} from './support/zoned-fleet.js';

const listed = {path: '/listed/x'};
const regionReason = /no endpoint is in a region that its route and team allow/v;

t.test('first attempts reach only endpoints in the regions that route and team allow', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2', 'z3', 'unknown'], configuration: configurationWith(1, {routeRegions: ['r2'], teamRegions: ['r3', 'r9']})});
	for (let index = 0; index < 8; index++) {
		t.equal((await fleet.call('to r2', listed)).status, 200);
		t.equal((await fleet.call('to r3', {path: '/keyed/x', key: 'k'})).status, 200);
		t.equal((await fleet.call('anywhere')).status, 200);
	}

	t.same([...new Set(fleet.zonesOf('to r2'))], ['z2']);
	t.same([...new Set(fleet.zonesOf('to r3'))], ['z3']);
	t.match(fleet.eventsOf('BP4023').find(({requestId}) => requestId === 'to r2'), {routeRegions: ['r2']});
	t.notOk('routeRegions' in fleet.eventsOf('BP4023').find(({requestId}) => requestId === 'anywhere')!, 'requests without a list have no such field');
});

t.test('a request that no region permits is refused at once, with its reason', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], configuration: configurationWith(1, {routeRegions: ['r3']})});
	const answer = await fleet.call('nowhere', listed);
	t.match(answer, {status: 503, text: regionReason, headers: {'retry-after': '1.50'}});
	t.same(fleet.zonesOf('nowhere'), []);
	const refusal = fleet.eventsOf('BP4021').find(({requestId}) => requestId === 'nowhere');
	t.match(refusal, {reason: regionReason, routeRegions: ['r3'], sent: 0});
	t.ok(Number(refusal!.heldMs) < 100, `held for ${String(refusal!.heldMs)} ms`);
	t.match(await fleet.metrics.text(), /bitternpaddle_region_refusals_total 1/v);
});

// Guards against sending a refused request to another region, where an endpoint is free.
t.test('a retry stays in the permitted regions', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2', 'z2'], configuration: configurationWith(1, {routeRegions: ['r2']})});
	fleet.behaviors[1] = 'refuse';
	fleet.behaviors[2] = 'refuse';
	t.equal((await fleet.call('refused', listed)).status, 503);
	t.same(fleet.zonesOf('refused'), ['z2', 'z2']);
});

t.test('an interrupted stream is resumed in the permitted regions only', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2', 'z2'], configuration: configurationWith(1, {routeRegions: ['r2']})});
	fleet.behaviors[1] = 'cut';
	for (const body of ['cut 1', 'cut 2', 'cut 3', 'cut 4', 'cut 5', 'cut 6']) {
		t.match(await fleet.call(body, listed), {status: 200, text: completeStream});
		t.notOk(fleet.zonesOf(body).includes('z1'));
	}

	fleet.behaviors[2] = 'cut';
	const both = await fleet.call('both cut', listed);
	t.equal(both.status, 0, 'without another permitted endpoint the stream ends incomplete');
	t.same(fleet.zonesOf('both cut'), ['z2', 'z2']);
});

// Guards against asking an endpoint of another region for the rest of an answer while its endpoint is silent.
t.test('an alternative to a silent endpoint is in the permitted regions', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2', 'z2'], configuration: configurationWith(1, {routeRegions: ['r2']})});
	fleet.behaviors.fill('hang', 1);
	t.equal((await fleet.call('silent', {...listed, deadlineMs: 1500})).status, 504);
	t.same(fleet.zonesOf('silent'), ['z2', 'z2']);
	fleet.behaviors.fill('stall', 1);
	await fleet.call('stalls', {...listed, deadlineMs: 1500});
	t.same(fleet.zonesOf('stalls'), ['z2', 'z2']);
});

// Guards against judging a waiting request by the configuration of its arrival.
t.test('a request that waits follows a configuration that comes into force meanwhile', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], configuration: configurationWith(1, {routeRegions: ['r1']})});
	fleet.behaviors[0] = 'pause';
	const pausesZ1 = fleet.call('pauses z1', listed);
	await fleet.waitOf('pauses z1');
	const opened = fleet.call('opened', listed);
	await fleet.waitOf('opened');
	fleet.state.configuration = configurationWith(2, {routeRegions: ['r2']});
	t.equal((await opened).status, 200);
	await pausesZ1;
	t.same(fleet.zonesOf('opened'), ['z2'], 'sent to the region that is permitted now, not to the one that was');

	fleet.behaviors[1] = 'pause';
	const pausesZ2 = fleet.call('pauses z2', listed);
	await fleet.waitOf('pauses z2');
	const closed = fleet.call('closed', listed);
	await fleet.waitOf('closed');
	fleet.state.configuration = configurationWith(3, {routeRegions: ['r3']});
	t.match(await closed, {status: 503, text: regionReason});
	t.same(fleet.zonesOf('closed'), []);
	await pausesZ2;
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
	const fleet = await createZonedFleet(t, {zoneIds: ['z1', 'z2'], configuration: configurationWith(1, {routeRegions: ['r1']}), regionsByZone});
	regionsByZone.isMoving = true;
	t.match(await fleet.call('moved', listed), {status: 200, text: completeStream});
	t.same(fleet.zonesOf('moved'), ['z2']);
	t.match(fleet.eventsOf('BP4055'), [{requestId: 'moved', zoneId: 'z1', exclusion: 'region'}]);
	t.match(await fleet.metrics.text(), /attempts_total\{service="s",outcome="excluded"\} 1/v);
});

// Guards against a body leaving the permitted regions by way of the messages between hosts. Every body is
// sent to endpoints that crash or refuse it, which causes all notices that entries exchange about requests.
t.test('no message to another host carries a body or a part of it', async t => {
	const fleet = await createZonedFleet(t, {zoneIds: ['z2', 'z2', 'z2'], configuration: configurationWith(1, {routeRegions: ['r2']})});
	const body = Array.from({length: 4000}, (_, index) => `secret-${index}`).join(' ');
	fleet.behaviors.fill('cut');
	for (let attempt = 0; attempt < 3; attempt++) {
		await fleet.call(body, listed);
		const endpoint = fleet.endpoints[attempt]!;
		endpoint.closeAllConnections();
		endpoint.close();
		await fleet.call(`finds endpoint ${attempt} gone`, listed);
	}

	await fleet.call(body, listed);
	t.ok(fleet.datagrams.some(data => data.includes('crash')), 'the other entry was told of the crashing request');
	t.ok(fleet.received.length > fleet.datagrams.length, 'messages to the core host were recorded');
	t.notOk(fleet.received.some(data => data.includes('secret-')), 'no message contains a word of the body');
	const longest = Math.max(...fleet.datagrams.map(data => data.length));
	t.ok(longest < 1500, `${longest} bytes in the longest datagram, ${body.length} in the body`);
	t.notOk(fleet.events.some(({event, fields}) => event !== 'BP9003' && JSON.stringify(fields).includes('secret-1 ')), 'nor does a log line');
});
