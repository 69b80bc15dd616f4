import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createEvacuatedZones} from '@bitternpaddle/gateway';

const result = (revision: number, zoneIds: readonly string[], freshAgeMs: number | null = 5) => ({evacuations: {revision, zoneIds}, freshAgeMs});

// A core host that lags behind the others answers after one that knows the evacuation.
// If its answer counted, the entry would send requests to the evacuated zone again.
t.test('only a greater revision changes the zones, and an evacuation ends when this process hears of it', async t => {
	const zones = createEvacuatedZones({logger: silentLogger});
	t.same([zones.zoneIds(), zones.revision()], [[], -1]);
	zones.recordResult(result(2, ['z1', 'z3']), 100);
	zones.recordResult(result(1, []), 200);
	t.same([zones.zoneIds(), zones.isEvacuated('z1'), zones.endedAtMs('z1')], [['z1', 'z3'], true, null]);
	zones.recordResult(result(3, ['z3']), 250);
	zones.recordResult(result(3, ['z3']), 400);
	t.same([zones.isEvacuated('z1'), zones.endedAtMs('z1'), zones.endedAtMs('z2')], [false, 250, null]);
	zones.recordResult(result(4, ['z1', 'z3']), 500);
	t.equal(zones.endedAtMs('z1'), null, 'evacuated again');
});

// An entry starts while a zone is evacuated and first reaches a core host that cannot
// know it: if that counted as confirmed, requests would be sent to the zone.
t.test('only a core host that holds all documents and can read them confirms the evacuations', async t => {
	const zones = createEvacuatedZones({logger: silentLogger});
	zones.recordResult({evacuations: null, freshAgeMs: 5}, 50);
	t.notOk(zones.isConfirmed(), 'a core host of the previous version');
	zones.recordResult(result(0, [], null), 100);
	t.notOk(zones.isConfirmed(), 'a core host without a leader');
	zones.recordResult(result(0, [], 60_000), 200);
	t.notOk(zones.isConfirmed(), 'a core host that lost the others a minute ago');
	zones.recordResult(result(1, ['z1']), 300);
	zones.recordResult({evacuations: null, freshAgeMs: null}, 400);
	t.same([zones.isConfirmed(), zones.isEvacuated('z1')], [true, true], 'what was confirmed stays so');
});
