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

// Guards against starting requests on an old version because only the newest of several named versions has a due time.
t.test('each named version is due by itself, also for a process that starts after a newer one was named', async t => {
	const versions = createWantedVersions({dueMs: 8000, startedAtMs: 5000});
	versions.recordResult({versions: [{model, version: 3, ageMs: 1000}, {model, version: 2, ageMs: 4000}], freshAgeMs: 0}, 6000);
	const [third, second] = versions.dues(model);
	t.equal(third!.dueAtMs - second!.dueAtMs, 3000);
	t.equal(versions.newest(model), 3);
	versions.recordResult({versions: [{model, version: 3, ageMs: 8000}, {model, version: 2, ageMs: 11_000}], freshAgeMs: 0}, 13_000);
	t.match(versions.dues(model), [{version: 3}], 'a version that is due covers the older ones');
	t.equal(versions.dues(model).length, 1);
});
