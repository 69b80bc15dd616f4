import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {createCoreGroup, until, watch} from './support/core-group.js';
import {createNamedVersions, type CoreNode, type WatchResult} from '@bitternpaddle/gateway';

const model = 'm';
const betweenMs = 700;
/** Time in which a core host has polled the others. */
const askedWithinMs = 1500;
/** From the naming of a version until all core hosts know it, and of a poll. */
const latencyMs = 200;

const nameVersion = async (node: CoreNode, version: number): Promise<void> => until(async () => ['stored', 'known'].includes(await node.submit({kind: 'version', model, version})));

const ageOf = ({versions}: WatchResult, version: number): number => versions.find(named => named.version === version)?.ageMs ?? Number.NaN;

// Guards against starting requests on an old version at an entry that starts after a newer one was named: it has to know when each became due.
t.test('a process that starts late learns of all versions and of when each was named', async t => {
	const group = await createCoreGroup(t);
	for (const version of [2, 3, 4]) {
		await nameVersion(group.nodes[0]!, version);
		await delay(betweenMs);
	}

	const results = await Promise.all(group.seeds.map(async seed => watch(seed)));
	for (const result of results) {
		t.ok(ageOf(result, 2) - ageOf(result, 3) >= betweenMs * 0.9);
		t.ok(ageOf(result, 3) - ageOf(result, 4) >= betweenMs * 0.9);
	}
});

// Guards against a core host that counts from its own start when a version was named, and forgets the superseded ones.
t.test('a core host that restarts reports versions with the ages that the others know', async t => {
	const group = await createCoreGroup(t);
	await nameVersion(group.nodes[0]!, 2);
	await delay(betweenMs);
	await nameVersion(group.nodes[0]!, 3);
	const namedAtMs = performance.now();
	await group.nodes[0]!.close();
	await delay(betweenMs);
	await group.startAgain(0);
	await delay(askedWithinMs);
	const result = await watch(group.seeds[0]!);
	t.ok(ageOf(result, 3) >= performance.now() - namedAtMs - latencyMs);
	t.ok(ageOf(result, 2) - ageOf(result, 3) >= betweenMs * 0.9);
});

// Guards against results that grow with every version that was ever named.
t.test('superseded versions are forgotten', async t => {
	let nowMs = 0;
	const named = createNamedVersions({nowMs: () => nowMs});
	named.recordLog({m: 2});
	nowMs = 60_000;
	named.recordLog({m: 3, n: 7});
	t.same(named.report(), [{model: 'm', version: 2, ageMs: 60_000}, {model: 'm', version: 3, ageMs: 0}, {model: 'n', version: 7, ageMs: 0}]);
	nowMs = 11 * 60_000;
	named.recordLog({m: 3, n: 7});
	t.match(named.report(), [{model: 'm', version: 2}, {model: 'm', version: 3, ageMs: 600_000}, {model: 'n', version: 7}]);
	nowMs++;
	t.match(named.report(), [{model: 'm', version: 3}, {model: 'n', version: 7}]);
	for (let version = 4; version < 200; version++) {
		named.recordLog({m: version});
	}

	t.equal(named.report().length, 65);
});
