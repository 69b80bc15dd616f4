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
		selfAddress, zoneId: 'z1', regionId: 'r1', folder, isFirstStart, seeds: () => seeds, toleratedLosses: 1, clock, logger: silentLogger,
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

const submitUntilKnown = async (node: CoreNode, number: number, text = `text ${number}`): Promise<string> => until(async () => {
	const result = await node.submit({kind: 'configuration', number, text});
	return result !== 'unknown' && result;
});

const readText = async (node: CoreNode): Promise<string> => until(async () => {
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

// At the first start of the whole system, one of the three core hosts in the
// settings never comes up. The other two must accept the first document.
t.test('a group forms without one of its first voters', async t => {
	const seeds = await freeAddresses(3);
	const folder = testFolder(t);
	const [first, second] = await Promise.all([0, 1].map(async index => start(t, seeds[index]!, seeds, path.join(folder, `c${index}`))));
	t.equal(await submitUntilKnown(first!, 5), 'stored');
	t.equal(await readText(second!), 'text 5');
	t.equal(await submitUntilKnown(second!, 5), 'known', 'the same document submitted again at another host');
	t.equal(await submitUntilKnown(second!, 5, 'other'), 'conflict');
});

// Guards against a core host that takes over the log of another one: entries would follow both
// groups and send requests to the endpoints of the other one.
t.test('a core host whose folder is in use by another one waits until it is released', async t => {
	const [first, second] = await freeAddresses(2);
	const folder = testFolder(t);
	const owner = await start(t, first!, [first!], folder);
	owner.announce(endpoint());
	t.equal(await submitUntilKnown(owner, 5), 'stored');
	const other = await start(t, second!, [second!], folder, false);
	await delay(1000);
	t.match(await other.read(), {type: 'unsure'});
	t.same((await watch(second!)).announcements, [], 'it does not follow the other one');
	t.equal(await submitUntilKnown(owner, 6), 'stored', 'the owner still writes its log');
	await owner.close();
	const successor = await start(t, first!, [first!], folder, false);
	t.equal(await readText(successor), 'text 6');
});

// A host that lost its disk restarts at its address while another one is down.
// It must not help to elect a leader that lacks acknowledged documents.
t.test('a host with an empty disk does not vote as its former member', async t => {
	const seeds = await freeAddresses(3);
	const folder = testFolder(t);
	const nodes = await Promise.all(seeds.map(async (seed, index) => start(t, seed, seeds, path.join(folder, `c${index}`))));
	t.equal(await submitUntilKnown(nodes[0]!, 5), 'stored');
	await Promise.all(nodes.map(async node => node.close()));
	const survivor = await start(t, seeds[0]!, seeds, path.join(folder, 'c0'), false);
	const replacement = await start(t, seeds[1]!, seeds, path.join(folder, 'empty'), false);
	await delay(1500);
	t.match(await replacement.read(), {type: 'unsure'}, 'one of three original members cannot decide');
	await start(t, seeds[2]!, seeds, path.join(folder, 'c2'), false);
	t.equal(await readText(survivor), 'text 5');
	t.equal(await readText(replacement), 'text 5', 'the host with the empty disk has been added as a member');
});

// A control host has no disk. Operators may call any control host: it forwards their
// changes and reads the configuration in force, also after a restart.
t.test('a host without a disk forwards calls to the log and is no voter', async t => {
	const [first, second, third, diskless] = await freeAddresses(4);
	const seeds = [first!, second!, third!];
	const folder = testFolder(t);
	const nodes = await Promise.all(seeds.map(async (seed, index) => start(t, seed, seeds, path.join(folder, `c${index}`))));
	const before = await start(t, diskless!, seeds, null);
	t.equal(await submitUntilKnown(before, 5), 'stored');
	t.equal(await readText(nodes[0]!), 'text 5');
	t.same((await watch(first!)).roster?.coreAddresses.toSorted(), seeds.toSorted(), 'followers are not directed to the host without a disk');
	t.same((await watch(diskless!)).roster?.coreAddresses.toSorted(), seeds.toSorted(), 'it directs followers to the other hosts');
	await before.close();
	const after = await start(t, diskless!, seeds, null, false);
	t.equal(await readText(after), 'text 5');
	t.equal(await submitUntilKnown(after, 6), 'stored');
});

// An endpoint announces itself to one core host only, and later reports to another that
// it is draining. Followers of any other core host must receive both announcements.
t.test('an announcement to one core host reaches the followers of all of them', async t => {
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
	t.equal(await stateAt(0), 'gone', 'an id identifies a single start');
});

// A core host restarts from a snapshot in which a version is named. If it reported the
// version only after a later change was committed, agents would learn of it 1.5 s after
// the core has recovered and fetch another version meanwhile.
t.test('a version named in the snapshot is reported from the start', async t => {
	const [address] = await freeAddresses(1);
	const options = {
		selfAddress: address!, zoneId: 'z1', regionId: 'r1', folder: path.join(testFolder(t), 'core'), seeds: () => [address!], toleratedLosses: 0, clock, logger: silentLogger,
	};
	const before = await createCoreNode({...options, isFirstStart: true});
	await until(async () => await before.submit({kind: 'version', model: 'm', version: 2}) === 'stored');
	for (let number = 1; number <= 70; number++) {
		await submitUntilKnown(before, number);
	}

	await before.close();
	const after = await createCoreNode({...options, isFirstStart: false});
	t.teardown(async () => after.close());
	const {versions, freshAgeMs} = await watch(address!);
	t.match(versions, [{model: 'm', version: 2}]);
	t.equal(freshAgeMs, null, 'the host cannot confirm yet that the version is the newest');
});
