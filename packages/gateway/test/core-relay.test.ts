import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock, type Announcement} from '@bitternpaddle/coordination';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {callRpc, silentLogger, type Logger} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';
import {createCoreNode, type CoreNode, type WatchResult} from '@bitternpaddle/gateway';

const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});

type StartOptions = {readonly selfAddress: string; readonly seeds: readonly string[]; readonly folder: string | null; readonly isFirstStart?: boolean; readonly logger?: Logger};

const start = async (t: Test, {selfAddress, seeds, folder, isFirstStart = true, logger = silentLogger}: StartOptions): Promise<CoreNode> => {
	const node = await createCoreNode({
		selfAddress, zoneId: 'z1', regionId: 'r1', folder, isFirstStart, seeds: () => seeds, toleratedLosses: 1, evacuationMs: 5000, regionsByZone: new Map([['z1', 'r1']]),
		clock, logger,
	});
	t.teardown(async () => node.close());
	return node;
};

const until = async (check: () => Promise<boolean>): Promise<void> => {
	while (!await check()) {
		await delay(30);
	}
};

const watch = async (address: string): Promise<WatchResult> => callRpc<WatchResult>({
	address, method: 'gateway.watch', timeoutMs: 2000, params: {
		follower: {
			role: 'entry', address: '127.0.0.1:1', zoneId: 'z1', regionId: 'r1', endpointAddress: null, serviceName: null,
		}, epoch: '', position: 0, configurationNumber: -1, versionsHash: '', rosterHash: '', waitMs: 0,
	},
});

const submitUntilStored = async (node: CoreNode, number: number): Promise<void> => until(async () => {
	const result = await node.submit({kind: 'configuration', number, text: `text ${number}`});
	return result === 'stored' || result === 'known';
});

const readText = async (node: CoreNode): Promise<string | null> => {
	const read = await node.read();
	return read.type === 'text' ? read.text : null;
};

const endpoint: Announcement = {
	id: 'e1', serviceName: 's', address: '10.0.0.1:80', zoneId: 'z1', slots: 4, state: 'ready', models: [], startedAtMs: 0, sequence: 1,
};

// Guards against a core whose costs grow with the hosts without a disk, each of which gets every change.
t.test('the log is not replicated to hosts without a disk', async t => {
	const addresses = await freeAddresses(4);
	const seeds = addresses.slice(0, 3);
	const changes: unknown[] = [];
	const logger: Logger = {
		...silentLogger,
		event(id, fields) {
			if (id === 'BP1008') {
				changes.push(fields);
			}
		},
	};
	const folder = testFolder(t);
	await Promise.all(seeds.map(async (selfAddress, index) => start(t, {
		selfAddress, seeds, folder: path.join(folder, `c${index}`), logger,
	})));
	const relay = await start(t, {selfAddress: addresses[3]!, seeds, folder: null});
	await submitUntilStored(relay, 1);
	await delay(3000);
	t.same(changes, [], 'the members stay the same');
});

// Guards against calls that are acknowledged by a host without a disk and lost with it.
t.test('announcements and orders to a host without a disk are in force at those with one', async t => {
	const addresses = await freeAddresses(4);
	const seeds = addresses.slice(0, 3);
	const folder = testFolder(t);
	const nodes = await Promise.all(seeds.map(async (selfAddress, index) => start(t, {selfAddress, seeds, folder: path.join(folder, `c${index}`)})));
	const relay = await start(t, {selfAddress: addresses[3]!, seeds, folder: null});
	await submitUntilStored(nodes[0]!, 1);
	await until(async () => relay.announce(endpoint));
	t.ok((await Promise.all(seeds.map(async seed => watch(seed)))).some(({announcements}) => announcements.some(({id}) => id === 'e1')), 'one with a disk holds it at once');
	const order = {arrivedAtMs: clock.nowMs(), hasLeft: () => false};
	t.equal(await relay.submitEvacuation({zoneId: 'z1', isEvacuated: true}, order), 'stored');
	t.same((await watch(addresses[3]!)).evacuations?.zoneIds, ['z1']);
	t.equal(await relay.withdraw('e1', null), true);
	await Promise.all(nodes.map(async node => node.close()));
	t.equal(await relay.announce({...endpoint, id: 'e2'}), false, 'nothing is acknowledged without a core host');
	t.equal(await relay.submit({kind: 'configuration', number: 2, text: 'text 2'}), 'unknown');
});

// Guards against processes that find no core after a restart because only hosts without a disk are left of their seeds.
t.test('the core is found through hosts without a disk', async t => {
	const addresses = await freeAddresses(5);
	const [first, second, third, ...relays] = addresses;
	const seeds = [first!, second!, third!];
	const folder = testFolder(t);
	const folderOf = (index: number): string => path.join(folder, `c${index}`);
	const before = await Promise.all(seeds.map(async (selfAddress, index) => start(t, {selfAddress, seeds, folder: folderOf(index)})));
	await submitUntilStored(before[0]!, 1);
	await Promise.all(before.map(async node => node.close()));
	const after = await Promise.all(relays.map(async selfAddress => start(t, {
		selfAddress, seeds: relays, folder: null, isFirstStart: false,
	})));
	await Promise.all(seeds.map(async (selfAddress, index) => start(t, {
		selfAddress, seeds: relays, folder: folderOf(index), isFirstStart: false,
	})));
	await until(async () => await readText(after[0]!) === 'text 1' && await readText(after[1]!) === 'text 1');
	await submitUntilStored(after[1]!, 2);
	const {roster} = await watch(relays[0]!);
	t.same(roster?.coreAddresses.toSorted(), seeds.toSorted());
});
