import {setTimeout as delay} from 'node:timers/promises';
import {
	createRandom, endpointStartOf, type AgedAnnouncement, type PermitState,
} from '@bitternpaddle/coordination';
import {silentLogger, type Logger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createColdEndpoints, createEndpointLimits, createGatewayMetrics, type ColdEndpoints, type ColdNews,
} from '@bitternpaddle/gateway';

const announced = (fields: Partial<AgedAnnouncement> = {}): AgedAnnouncement => ({
	id: 'e1', serviceName: 's', address: '10.0.0.1:80', zoneId: 'z1', slots: 12, state: 'ready', models: [], startedAtMs: 1, sequence: 1, ageMs: 0, ...fields,
});

/** After a start, issuers wait for this long before they grant permits. */
const issuerReturnMs = 3500;

type Fixture = {
	readonly cold: ColdEndpoints;
	readonly events: string[];
	nowMs: number;
	evacuationEndedAtMs: number | null;
	record(announcement: AgedAnnouncement, news?: Partial<ColdNews>): void;
	stateOf(announcement: AgedAnnouncement): PermitState['type'];
};

const createFixture = (t: Test): Fixture => {
	const events: string[] = [];
	const logger: Logger = {
		...silentLogger,
		event(id, fields) {
			events.push(`${id} ${String(fields?.endpointId)}`);
		},
	};
	const cold = createColdEndpoints({
		selfAddress: 'a:1', bounds: {overage: 1.5, slack: 5}, coldStartOf: name => name === 's' ? {durationMs: 3000, perSecond: 26} : null,
		evacuationEndedAtMs: () => fixture.evacuationEndedAtMs, send: () => undefined, onGranted: () => undefined, logger, metrics: createGatewayMetrics(), nowMs: () => fixture.nowMs,
	});
	t.teardown(cold.close);
	const fixture: Fixture = {
		cold, events, nowMs: 10_000, evacuationEndedAtMs: null,
		record(announcement, news = {}) {
			cold.recordNews({
				announcements: [announcement], peers: null, confirmedAtMs: null, ...news,
			});
		},
		stateOf: announcement => cold.stateOf(endpointStartOf(announcement)).type,
	};
	return fixture;
};

t.test('an endpoint is limited from an announcement until the announced time has passed', async t => {
	const fixture = createFixture(t);
	fixture.record(announced());
	t.notOk(fixture.cold.hasCold(), 'a missing remaining time means warm');
	fixture.record(announced({sequence: 2, coldForMs: 2000, ageMs: 500}));
	t.equal(fixture.cold.perSecondOf(endpointStartOf(announced())), 26);
	t.equal(fixture.stateOf(announced()), 'limited');
	fixture.record(announced({sequence: 1, coldForMs: 0}));
	t.equal(fixture.stateOf(announced()), 'limited', 'a delayed announcement changes nothing');
	fixture.nowMs = 11_500;
	t.equal(fixture.stateOf(announced()), 'available');
	fixture.record(announced({sequence: 3}));
	t.notOk(fixture.cold.hasCold());
	t.same(fixture.events, ['BP4056 e1', 'BP4057 e1']);
});

t.test('a later start restarts the count, and an announcement of the earlier one changes nothing', async t => {
	const fixture = createFixture(t);
	fixture.record(announced({coldForMs: 100}));
	const restarted = announced({startedAtMs: 2, coldForMs: 3000});
	fixture.record(restarted);
	fixture.record(announced({sequence: 9}));
	fixture.nowMs = 12_900;
	t.equal(fixture.stateOf(restarted), 'limited');
	t.equal(fixture.stateOf(announced()), 'available');
});

t.test('an endpoint of a service without a cold start is not limited', async t => {
	const fixture = createFixture(t);
	fixture.record(announced({serviceName: 'plain', coldForMs: 3000}));
	t.notOk(fixture.cold.hasCold());
});

// Guards against a full load for a zone that comes back cold.
t.test('the endpoints of a zone are cold after its evacuation until they announce that they are warm', async t => {
	const fixture = createFixture(t);
	fixture.record(announced());
	fixture.nowMs = 12_000;
	fixture.evacuationEndedAtMs = 12_000;
	fixture.record(announced({id: 'other', serviceName: 'plain'}));
	t.equal(fixture.stateOf(announced()), 'limited');
	fixture.nowMs = 12_300;
	fixture.record(announced({sequence: 2}));
	t.equal(fixture.stateOf(announced()), 'available');
});

// Guards against an entry that sends at the rate of a single entry before it knows the others.
t.test('an entry without a list of entries sends nothing to a cold endpoint', async t => {
	const fixture = createFixture(t);
	fixture.record(announced({coldForMs: 3000}), {confirmedAtMs: 10_000});
	for (; fixture.nowMs < 12_500; fixture.nowMs += 40) {
		fixture.cold.requestPermits(endpointStartOf(announced()));
		t.equal(fixture.stateOf(announced()), 'limited');
	}
});

// Guards against a cold endpoint whose own limit is ignored, and against one whose own limit lifts that of its cold period.
for (const [namedPerSecond, maxCount] of [[2, 3], [100, 26]] as const) {
	t.test(`the smaller limit holds at a cold endpoint that names a limit of ${namedPerSecond} a second`, async t => {
		let skippedMs = 0;
		const nowMs = (): number => performance.now() + skippedMs;
		const limits = createEndpointLimits({
			selfAddress: 'a:1', peers: () => [], bounds: {overage: 1.5, slack: 5}, coldStartOf: () => ({durationMs: 3000, perSecond: 26}), evacuationEndedAtMs: () => null,
			send: () => undefined, onGranted: () => undefined, logger: silentLogger, metrics: createGatewayMetrics(), random: createRandom(1), nowMs,
		});
		t.teardown(limits.close);
		const endpoint = announced({coldForMs: 60_000});
		limits.recordAnswer({
			announcement: endpoint, notice: {type: 'limited', perSecond: namedPerSecond}, hasRun: true, sentAtMs: nowMs(),
		});
		for (; skippedMs < issuerReturnMs; skippedMs += 500) {
			limits.recordNews({announcements: [endpoint], peers: [], confirmedAtMs: nowMs()});
		}

		const sentAtMs: number[] = [];
		const startedAtMs = nowMs();
		while (nowMs() < startedAtMs + 3000) {
			limits.recordNews({announcements: [], peers: [], confirmedAtMs: nowMs()});
			limits.requestPermits(endpoint);
			if (limits.stateOf(endpoint).type === 'available') {
				limits.usePermit(endpoint);
				sentAtMs.push(nowMs());
			}

			await delay(4);
		}

		const max = Math.max(...sentAtMs.map(fromMs => sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length));
		t.ok(max <= maxCount, `${max} requests in a second`);
		t.ok(sentAtMs.length >= 2 * Math.min(namedPerSecond, 26), `${sentAtMs.length} requests in 3 s`);
		t.equal(limits.perSecondOf(endpoint), Math.min(namedPerSecond, 26));
	});
}
