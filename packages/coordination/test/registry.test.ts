import fc from 'fast-check';
import t from 'tap';
import {
	announcementsSince, createRegistry, pruneRegistry, recordAnnouncement, withdraw, type AgedAnnouncement, type EndpointState,
} from '@bitternpaddle/coordination';

const announced = (fields: Partial<AgedAnnouncement> = {}): AgedAnnouncement => ({
	id: 'e1', serviceName: 's', address: '10.0.0.1:80', zoneId: 'z1', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1, ageMs: 0, ...fields,
});

const stateOf = (registry: ReturnType<typeof createRegistry>, id: string) => registry.entries.get(id)?.announcement.state;

// Guards against sending requests to an endpoint that is leaving: an announcement from
// before it started to drain arrives late.
t.test('a late announcement does not undo a later one', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced({sequence: 4}), 0);
	recordAnnouncement(registry, announced({sequence: 6, state: 'draining'}), 10);
	t.notOk(recordAnnouncement(registry, announced({sequence: 5}), 20));
	t.equal(stateOf(registry, 'e1'), 'draining');
});

// Guards against restoring an endpoint that has left: another core host, which was
// partitioned, still forwards its earlier announcements. An id stands for one start, so none
// of them restores it.
t.test('an endpoint that has left is not restored under its id', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced({sequence: 4}), 0);
	t.ok(withdraw(registry, 'e1'));
	t.notOk(recordAnnouncement(registry, announced({sequence: 9}), 10, 'host'));
	t.equal(stateOf(registry, 'e1'), 'gone');
});

// Guards against ending a restarted endpoint. After a crash, an endpoint restarts at
// the same address, and a delayed announcement of the previous start reaches a core
// host that did not know it. The new start must stay: only the address itself shows
// which of the two is running.
t.test('a delayed announcement of an earlier start does not end the new one', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced({id: 'new'}), 0);
	recordAnnouncement(registry, announced({id: 'old'}), 500);
	t.equal(stateOf(registry, 'new'), 'ready');
});

t.test('readers receive changes at once, and unchanged announcements at intervals', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced(), 0);
	const {position} = registry;
	recordAnnouncement(registry, announced({sequence: 2}), 1200);
	t.same(announcementsSince(registry, position, 1200), [], 'nothing changed');
	recordAnnouncement(registry, announced({sequence: 3}), 2400);
	t.match(announcementsSince(registry, position, 2500), [{id: 'e1', ageMs: 100}]);
	t.equal(registry.urgentPosition, position, 'but readers are not woken for it');
	recordAnnouncement(registry, announced({sequence: 4, models: [{model: 'm', version: 2}]}), 2600);
	t.equal(registry.urgentPosition, registry.position, 'new weights are a change');
});

// Guards against sending a full load to an endpoint that became cold again: readers would learn of it with the next refresh, seconds later.
t.test('an endpoint that becomes cold again is announced to readers at once', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced({coldForMs: 3000}), 0);
	const {urgentPosition} = registry;
	recordAnnouncement(registry, announced({sequence: 2, coldForMs: 1800}), 1250);
	recordAnnouncement(registry, announced({sequence: 3, coldForMs: 0}), 3100);
	t.equal(registry.urgentPosition, urgentPosition, 'the end of a cold period is known from its start');
	const {position} = registry;
	recordAnnouncement(registry, announced({sequence: 4, coldForMs: 2900}), 3500);
	t.equal(registry.urgentPosition, registry.position);
	t.match(announcementsSince(registry, position, 3600), [{coldForMs: 2900, ageMs: 100}]);
});

// Guards against ignoring a restarted endpoint. After a crash, it starts again under
// its id, and its sequence restarts from 1, below that of its first start. It would
// get no work for as long as the first start had run, and never if that start had
// left.
t.test('an endpoint that restarts under its id is accepted at once', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced({
		startedAtMs: 100, sequence: 40, state: 'draining', models: [{model: 'm', version: 3}],
	}), 0);
	const {position} = registry;
	t.ok(recordAnnouncement(registry, announced({startedAtMs: 200, sequence: 1}), 10));
	t.match(registry.entries.get('e1')!.announcement, {state: 'ready', sequence: 1, models: []}, 'nothing of the first start is kept');
	t.equal(registry.urgentPosition, registry.position, 'readers are notified at once');
	t.ok(registry.position > position);
	withdraw(registry, 'e1');
	t.ok(recordAnnouncement(registry, announced({startedAtMs: 300, sequence: 1}), 20));
	t.equal(stateOf(registry, 'e1'), 'ready', 'the departure of the previous start does not apply to this one');
});

// Guards against late announcements of an earlier start, delayed in transit from the
// endpoint itself or forwarded by a core host that was partitioned. Callers would be sent
// to the restarted endpoint for weights that it no longer holds, or not at all.
t.test('late announcements of an earlier start change nothing, whoever sends them', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced({startedAtMs: 200, sequence: 1}), 0);
	t.notOk(recordAnnouncement(registry, announced({startedAtMs: 100, sequence: 99, state: 'draining'}), 10));
	t.notOk(recordAnnouncement(registry, announced({startedAtMs: 100, sequence: 99, state: 'gone'}), 20, 'host'));
	t.notOk(withdraw(registry, 'e1', 100), 'the first start has left');
	t.equal(stateOf(registry, 'e1'), 'ready');
	t.ok(withdraw(registry, 'e1', 200));
	t.notOk(recordAnnouncement(registry, announced({startedAtMs: 200, sequence: 5}), 30), 'within one start, leaving is final');
	t.equal(stateOf(registry, 'e1'), 'gone');
});

// Guards against core hosts that disagree: two hosts receive the announcements of
// several starts of an endpoint in different orders and with duplicates. Both must end
// with the latest announcement of the latest start.
t.test('hosts that receive the same announcements in any order agree', async t => {
	const announcements = fc.array(fc.record({
		startedAtMs: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 6}),
		state: fc.constantFrom<EndpointState>('ready', 'draining'),
	}), {minLength: 1, maxLength: 12});
	fc.assert(fc.property(announcements, fc.infiniteStream<number>(fc.nat()), (received, sortKeys) => {
		const bySequence = new Map(received.map(fields => [`${fields.startedAtMs}/${fields.sequence}`, fields]));
		const inOrder = [...bySequence.values()];
		const shuffled = inOrder.map(fields => ({fields, sortKey: Number(sortKeys.next().value)})).toSorted((a, b) => a.sortKey - b.sortKey).map(({fields}) => fields);
		const results = [inOrder, shuffled].map(order => {
			const registry = createRegistry();
			for (const fields of order) {
				recordAnnouncement(registry, announced(fields), 0);
			}

			return registry.entries.get('e1')!.announcement;
		});
		t.same(results[0], results[1]);
		t.equal(results[0]!.startedAtMs, Math.max(...inOrder.map(({startedAtMs}) => startedAtMs)));
	}), {seed: 15, numRuns: 300});
});

// Guards against restoring an endpoint that has left, in whatever order a core host hears of its announcements and of its departure.
t.test('an endpoint that left stays gone, and a later start is ready, in any order of arrival', async t => {
	const announcements = fc.array(fc.record({
		startedAtMs: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 6}),
		state: fc.constantFrom<EndpointState>('ready', 'draining'),
	}), {minLength: 1, maxLength: 10});
	fc.assert(fc.property(announcements, fc.integer({min: 1, max: 3}), fc.nat(), (received, leftStart, at) => {
		const registry = createRegistry();
		const departure = announced({
			startedAtMs: leftStart, sequence: 0, state: 'gone', serviceName: '', address: '',
		});
		const arrivals = received.map(fields => announced(fields)).toSpliced(at % (received.length + 1), 0, departure);
		for (const arrival of arrivals) {
			recordAnnouncement(registry, arrival, 0);
		}

		const latestStart = Math.max(...received.map(({startedAtMs}) => startedAtMs));
		t.equal(stateOf(registry, 'e1') === 'gone', latestStart <= leftStart);
	}), {seed: 23, numRuns: 300});
});

// Guards against forgetting a departure as soon as the last announcement before it is old: an endpoint that was silent for most of the retention period left.
t.test('the retention of a departure counts from when the endpoint left', async t => {
	const registry = createRegistry();
	recordAnnouncement(registry, announced({sequence: 4}), 0);
	recordAnnouncement(registry, announced({state: 'gone', sequence: 0}), 55_000);
	pruneRegistry(registry, 100_000);
	t.notOk(recordAnnouncement(registry, announced({sequence: 5}), 100_000));
	pruneRegistry(registry, 115_001);
	t.equal(stateOf(registry, 'e1'), undefined);
});
