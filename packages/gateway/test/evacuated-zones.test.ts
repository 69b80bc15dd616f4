import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createEvacuatedZones, type EvacuatedZones} from '@bitternpaddle/gateway';

const create = (): EvacuatedZones => createEvacuatedZones({logger: silentLogger});

const result = (revision: number, zoneIds: readonly string[], freshAgeMs: number | null = 5) => ({evacuations: {revision, zoneIds}, freshAgeMs});

t.test('a result with a greater revision replaces the zones', async t => {
	const zones = create();
	t.equal(zones.revision(), -1);
	zones.recordResult(result(1, ['z2']), 100);
	zones.recordResult(result(3, ['z1', 'z3']), 200);
	t.same([zones.zoneIds(), zones.revision()], [['z1', 'z3'], 3]);
	t.notOk(zones.isEvacuated('z2'));
	t.ok(zones.isEvacuated('z3'));
});

// A core host that lags behind the others answers after one that knows the evacuation.
// If its answer counted, the entry would send requests to the evacuated zone again.
t.test('a result with an older revision changes nothing', async t => {
	const zones = create();
	zones.recordResult(result(2, ['z1']), 100);
	zones.recordResult(result(1, []), 200);
	t.ok(zones.isEvacuated('z1'));
	t.equal(zones.endedAtMs('z1'), null);
});

t.test('the end of an evacuation is the time at which this process heard of it', async t => {
	const zones = create();
	zones.recordResult(result(1, ['z1']), 100);
	zones.recordResult(result(2, []), 250);
	zones.recordResult(result(2, []), 400);
	t.equal(zones.endedAtMs('z1'), 250);
	t.equal(zones.endedAtMs('z2'), null, 'never evacuated');
	zones.recordResult(result(3, ['z1']), 500);
	t.equal(zones.endedAtMs('z1'), null, 'evacuated again');
});

// An entry starts while a zone is evacuated and first reaches a core host that has just
// restarted from an old snapshot. If its answer counted as confirmed, requests would be
// sent to the evacuated zone.
t.test('only a core host that is confirmed to hold all documents confirms the evacuations', async t => {
	const zones = create();
	zones.recordResult(result(0, [], null), 100);
	t.notOk(zones.isConfirmed(), 'a core host without a leader');
	zones.recordResult(result(0, [], 60_000), 200);
	t.notOk(zones.isConfirmed(), 'a core host that lost the others a minute ago');
	zones.recordResult(result(1, ['z1']), 300);
	t.ok(zones.isConfirmed());
	zones.recordResult(result(1, ['z1'], null), 400);
	t.ok(zones.isConfirmed(), 'what was confirmed once stays so');
});

// During an upgrade some core hosts still have the previous version, which cannot know
// the evacuations even though it holds all documents that it can read.
t.test('a core host of the previous version neither confirms nor ends evacuations', async t => {
	const zones = create();
	zones.recordResult({evacuations: null, freshAgeMs: 5}, 100);
	t.notOk(zones.isConfirmed());
	zones.recordResult(result(1, ['z1']), 200);
	zones.recordResult({evacuations: null, freshAgeMs: 5}, 300);
	t.ok(zones.isEvacuated('z1'));
});
