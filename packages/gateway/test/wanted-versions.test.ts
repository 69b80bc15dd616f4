import t from 'tap';
import {createWantedVersions} from '@bitternpaddle/gateway';

const model = 'm';

// All hosts lose power and restart. The core hosts hold a snapshot from before the
// newest version was named, and elect a leader 0.7 s later. Agents that relied on it, or
// assumed that the first version is wanted, fetched that version for two seconds, and
// callers were refused for as long.
t.test('the wanted version is not determined before a core host confirms it', async t => {
	const versions = createWantedVersions({dueMs: 8000, startedAtMs: 1000});
	t.notOk(versions.isDetermined(1000), 'no result received');
	versions.recordResult({versions: [], freshAgeMs: null}, 1100);
	t.notOk(versions.isDetermined(1100), 'result of a core host that cannot confirm the newest state');
	versions.recordResult({versions: [{model, version: 2, ageMs: 0}], freshAgeMs: 5}, 1700);
	t.ok(versions.isDetermined(1700));
	t.equal(versions.newest(model), 2);
});

// The core has no majority for a long time. Engines that restart meanwhile must still
// load weights, of the newest known version.
t.test('the newest known version is used after a while without confirmation', async t => {
	const versions = createWantedVersions({dueMs: 8000, startedAtMs: 1000});
	versions.recordResult({versions: [], freshAgeMs: null}, 1100);
	t.notOk(versions.isDetermined(4900));
	t.ok(versions.isDetermined(5000));
});
