import fc from 'fast-check';
import t from 'tap';
import {
	announcedSince, createRegistry, hearAnnounced, withdraw, type AgedAnnouncement, type EndpointState,
} from '@bitternpaddle/coordination';

const announced = (fields: Partial<AgedAnnouncement> = {}): AgedAnnouncement => ({
	id: 'e1', serviceName: 's', address: '10.0.0.1:80', zoneId: 'z1', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1, ageMs: 0, ...fields,
});

const stateOf = (registry: ReturnType<typeof createRegistry>, id: string) => registry.entries.get(id)?.announcement.state;

// An endpoint says that it drains. An announcement from before, delayed on the
// way, arrives after it. Callers would be sent to an endpoint that is leaving.
t.test('a late announcement does not undo a later one', async t => {
	const registry = createRegistry();
	hearAnnounced(registry, announced({sequence: 4}), 0);
	hearAnnounced(registry, announced({sequence: 6, state: 'draining'}), 10);
	t.notOk(hearAnnounced(registry, announced({sequence: 5}), 20));
	t.equal(stateOf(registry, 'e1'), 'draining');
});

// An endpoint leaves. Another core host, which was cut off, still passes on what
// the endpoint said before. An id stands for one start, so nothing brings it back.
t.test('an endpoint that has left does not come back under its id', async t => {
	const registry = createRegistry();
	hearAnnounced(registry, announced({sequence: 4}), 0);
	t.ok(withdraw(registry, 'e1'));
	t.notOk(hearAnnounced(registry, announced({sequence: 9}), 10, 'host'));
	t.equal(stateOf(registry, 'e1'), 'gone');
});

// An endpoint crashed and started anew at its address. An announcement of the
// start before, held up by a cut, reaches a core host that did not know it. The
// new start must stay: which of the two runs, only the address itself can tell.
t.test('a delayed announcement of an earlier start does not end the new one', async t => {
	const registry = createRegistry();
	hearAnnounced(registry, announced({id: 'new'}), 0);
	hearAnnounced(registry, announced({id: 'old'}), 500);
	t.equal(stateOf(registry, 'new'), 'ready');
});

t.test('readers are told at once of what changes, and now and then of what does not', async t => {
	const registry = createRegistry();
	hearAnnounced(registry, announced(), 0);
	const {position} = registry;
	hearAnnounced(registry, announced({sequence: 2}), 1200);
	t.same(announcedSince(registry, position, 1200), [], 'nothing new');
	hearAnnounced(registry, announced({sequence: 3}), 2400);
	t.match(announcedSince(registry, position, 2500), [{id: 'e1', ageMs: 100}]);
	t.equal(registry.urgentPosition, position, 'but nobody is woken for it');
	hearAnnounced(registry, announced({sequence: 4, models: [{model: 'm', version: 2}]}), 2600);
	t.equal(registry.urgentPosition, registry.position, 'new weights are news');
});

// An endpoint crashes and starts again under its id. It counts from 1, below the
// count of its first start. Callers would get no work done there for as long as
// its first life had lasted, and never if that had ended by leaving.
t.test('an endpoint that starts again under its id is taken at once', async t => {
	const registry = createRegistry();
	hearAnnounced(registry, announced({
		startedAtMs: 100, sequence: 40, state: 'draining', models: [{model: 'm', version: 3}],
	}), 0);
	const {position} = registry;
	t.ok(hearAnnounced(registry, announced({startedAtMs: 200, sequence: 1}), 10));
	t.match(registry.entries.get('e1')!.announcement, {state: 'ready', sequence: 1, models: []}, 'nothing of the first start is left');
	t.equal(registry.urgentPosition, registry.position, 'readers are told at once');
	t.ok(registry.position > position);
	withdraw(registry, 'e1');
	t.ok(hearAnnounced(registry, announced({startedAtMs: 300, sequence: 1}), 20));
	t.equal(stateOf(registry, 'e1'), 'ready', 'that the start before had left says nothing of this one');
});

// The restarted endpoint is known. Words of its first start come late: from
// itself, held up on the way, and from a core host that was cut off meanwhile.
// Callers would be sent to it for weights that it no longer holds, or not at all.
t.test('late words of an earlier start change nothing, whoever brings them', async t => {
	const registry = createRegistry();
	hearAnnounced(registry, announced({startedAtMs: 200, sequence: 1}), 0);
	t.notOk(hearAnnounced(registry, announced({startedAtMs: 100, sequence: 99, state: 'draining'}), 10));
	t.notOk(hearAnnounced(registry, announced({startedAtMs: 100, sequence: 99, state: 'gone'}), 20, 'host'));
	t.notOk(withdraw(registry, 'e1', 100), 'the first start has left');
	t.equal(stateOf(registry, 'e1'), 'ready');
	t.ok(withdraw(registry, 'e1', 200));
	t.notOk(hearAnnounced(registry, announced({startedAtMs: 200, sequence: 5}), 30), 'within one start, leaving is final');
	t.equal(stateOf(registry, 'e1'), 'gone');
});

// Two core hosts hear the words of several starts of an endpoint, each in another
// order and some twice. Both must end with the newest word of the newest start.
t.test('hosts that hear the same words in any order agree', async t => {
	const words = fc.array(fc.record({
		startedAtMs: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 6}),
		state: fc.constantFrom<EndpointState>('ready', 'draining'),
	}), {minLength: 1, maxLength: 12});
	fc.assert(fc.property(words, fc.infiniteStream<number>(fc.nat()), (told, lots) => {
		const byCount = new Map(told.map(word => [`${word.startedAtMs}/${word.sequence}`, word]));
		const inOrder = [...byCount.values()];
		const shuffled = inOrder.map(word => ({word, lot: Number(lots.next().value)})).toSorted((a, b) => a.lot - b.lot).map(({word}) => word);
		const ends = [inOrder, shuffled].map(heard => {
			const registry = createRegistry();
			for (const word of heard) {
				hearAnnounced(registry, announced(word), 0);
			}

			return registry.entries.get('e1')!.announcement;
		});
		t.same(ends[0], ends[1]);
		t.equal(ends[0]!.startedAtMs, Math.max(...inOrder.map(({startedAtMs}) => startedAtMs)));
	}), {seed: 15, numRuns: 300});
});
