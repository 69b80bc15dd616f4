import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock, type Announcement} from '@bitternpaddle/coordination';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {callRpc, silentLogger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {
	createCoreNode, type CoreNode, type ReadConfiguration, type WatchResult,
} from '@bitternpaddle/gateway';

const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});

const start = async (t: Test, selfAddress: string, seeds: readonly string[], folder: string | null, isFirstStart = true): Promise<CoreNode> => {
	const node = await createCoreNode({
		selfAddress, zoneId: 'z1', regionId: 'r1', folder, isFirstStart, seeds: () => seeds, lossesBorne: 1, clock, logger: silentLogger,
	});
	t.teardown(async () => node.close());
	return node;
};

const until = async <Value>(check: () => Promise<Value | false>): Promise<Value> => {
	for (;;) {
		const value = await check();
		if (value !== false) {
			return value;
		}

		await delay(30);
	}
};

const submitted = async (node: CoreNode, number: number, text = `text ${number}`): Promise<string> => until(async () => {
	const result = await node.submit({kind: 'configuration', number, text});
	return result !== 'unknown' && result;
});

const textOf = async (node: CoreNode): Promise<string> => until(async () => {
	const read: ReadConfiguration = await node.read();
	return read.type === 'text' && read.text;
});

const endpoint = (fields: Partial<Announcement> = {}): Announcement => ({
	id: 'e1', serviceName: 's', address: '10.0.0.1:80', zoneId: 'z1', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1, ...fields,
});

const watch = async (address: string): Promise<WatchResult> => callRpc<WatchResult>({
	address, method: 'gateway.watch', timeoutMs: 2000, params: {
		follower: {
			role: 'entry', address: '127.0.0.1:1', zoneId: 'z1', regionId: 'r1', endpointAddress: null, serviceName: null,
		}, epoch: '', position: 0, configurationNumber: -1, versionsHash: '', rosterHash: '', waitMs: 0,
	},
});

// The whole system starts for the first time, and one of the three core hosts that
// the settings name never comes up. The other two must accept the first document.
t.test('a group forms without one of its first members', async t => {
	const seeds = await freeAddresses(3);
	const folder = testFolder(t);
	const [first, second] = await Promise.all([0, 1].map(async index => start(t, seeds[index]!, seeds, path.join(folder, `c${index}`))));
	t.equal(await submitted(first!, 5), 'stored');
	t.equal(await textOf(second!), 'text 5');
	t.equal(await submitted(second!, 5), 'known', 'the same again, at another host');
	t.equal(await submitted(second!, 5, 'other'), 'conflict');
});

// A host that lost its disk starts again at its address while another one is down.
// It must not help to elect a leader that lacks what was acknowledged.
t.test('a host with an empty disk does not count as the one that it was', async t => {
	const seeds = await freeAddresses(3);
	const folder = testFolder(t);
	const nodes = await Promise.all(seeds.map(async (seed, index) => start(t, seed, seeds, path.join(folder, `c${index}`))));
	t.equal(await submitted(nodes[0]!, 5), 'stored');
	await Promise.all(nodes.map(async node => node.close()));
	const kept = await start(t, seeds[0]!, seeds, path.join(folder, 'c0'), false);
	const emptied = await start(t, seeds[1]!, seeds, path.join(folder, 'empty'), false);
	await delay(1500);
	t.match(await emptied.read(), {type: 'unsure'}, 'one old member of three decides nothing');
	await start(t, seeds[2]!, seeds, path.join(folder, 'c2'), false);
	t.equal(await textOf(kept), 'text 5');
	t.equal(await textOf(emptied), 'text 5', 'and the empty one has been taken in');
});

// A host that serves control has no disk. Operators may ask any control host: it
// passes on what they change, and reads back what is in force, also after a restart.
t.test('a host without a disk answers for the log and holds no part of it', async t => {
	const [first, second, third, diskless] = await freeAddresses(4);
	const seeds = [first!, second!, third!];
	const folder = testFolder(t);
	const nodes = await Promise.all(seeds.map(async (seed, index) => start(t, seed, seeds, path.join(folder, `c${index}`))));
	const before = await start(t, diskless!, seeds, null);
	t.equal(await submitted(before, 5), 'stored');
	t.equal(await textOf(nodes[0]!), 'text 5');
	t.same((await watch(first!)).roster?.coreAddresses.toSorted(), seeds.toSorted(), 'followers are not sent to it');
	t.same((await watch(diskless!)).roster?.coreAddresses.toSorted(), seeds.toSorted(), 'and learn of the others there');
	await before.close();
	const after = await start(t, diskless!, seeds, null, false);
	t.equal(await textOf(after), 'text 5');
	t.equal(await submitted(after, 6), 'stored');
});

// An endpoint announces itself to one core host only, and says later that it
// drains. Whoever follows any other core host must hear of it as well.
t.test('what an endpoint tells one core host, all of them tell', async t => {
	const seeds = await freeAddresses(3);
	const folder = testFolder(t);
	const nodes = await Promise.all(seeds.map(async (seed, index) => start(t, seed, seeds, path.join(folder, `c${index}`))));
	const stateAt = async (index: number): Promise<string | undefined> => {
		const {announcements} = await watch(seeds[index]!);
		return announcements.find(({id}) => id === 'e1')?.state;
	};

	nodes[0]!.announce(endpoint());
	await until(async () => await stateAt(2) === 'ready');
	nodes[1]!.announce(endpoint({state: 'draining', sequence: 2}));
	await until(async () => await stateAt(0) === 'draining' && await stateAt(2) === 'draining');
	nodes[2]!.withdraw('e1', null);
	await until(async () => await stateAt(0) === 'gone');
	nodes[0]!.announce(endpoint({sequence: 9}));
	t.equal(await stateAt(0), 'gone', 'an id stands for one start');
});

// A core host starts again from a snapshot in which a version is named. If it told of
// the version only once a later change was committed, agents would learn of it a
// second and a half after the core is well again, and draw another one meanwhile.
t.test('a version that is named in the snapshot is told from the start', async t => {
	const [address] = await freeAddresses(1);
	const options = {
		selfAddress: address!, zoneId: 'z1', regionId: 'r1', folder: path.join(testFolder(t), 'core'), seeds: () => [address!], lossesBorne: 0, clock, logger: silentLogger,
	};
	const before = await createCoreNode({...options, isFirstStart: true});
	await until(async () => await before.submit({kind: 'version', model: 'm', version: 2}) === 'stored');
	for (let number = 1; number <= 70; number++) {
		await submitted(before, number);
	}

	await before.close();
	const after = await createCoreNode({...options, isFirstStart: false});
	t.teardown(async () => after.close());
	const {versions, freshAgeMs} = await watch(address!);
	t.match(versions, [{model: 'm', version: 2}]);
	t.equal(freshAgeMs, null, 'though it cannot be sure yet that it is the newest');
});
