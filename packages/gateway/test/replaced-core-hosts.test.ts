import {rmSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {silentLogger, type Logger} from '@bitternpaddle/transport';
import t from 'tap';
import {createCoreNode, type CoreNode} from '@bitternpaddle/gateway';

const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});

const until = async (check: () => Promise<boolean> | boolean): Promise<void> => {
	while (!await check()) {
		await delay(30);
	}
};

// Guards against hosts with new disks that only announce themselves to their seeds while another host leads.
t.test('hosts that lost their disks are voters again although the leader is none of their seeds', {timeout: 60_000}, async t => {
	const addresses = await freeAddresses(5);
	const seeds = addresses.slice(0, 3);
	const folder = testFolder(t);
	const folderOf = (address: string): string => path.join(folder, String(addresses.indexOf(address)));
	let voters: string[] = [];
	const lostSeeds = seeds.slice(0, 2);
	const removedSeeds = new Set<string>();
	const logger: Logger = {
		...silentLogger,
		event(id, fields) {
			if (id === 'BP1008') {
				voters = String((fields as {voters: string}).voters).split(',');
				for (const seed of lostSeeds.filter(address => !voters.includes(address))) {
					removedSeeds.add(seed);
				}
			}
		},
	};
	const nodes = new Map<string, CoreNode>();
	const start = async (address: string, isFirstStart: boolean): Promise<void> => {
		nodes.set(address, await createCoreNode({
			selfAddress: address, zoneId: 'z1', regionId: 'r1', folder: folderOf(address), isFirstStart, seeds: () => seeds, toleratedLosses: 2, clock, logger,
		}));
	};

	t.teardown(async () => Promise.all([...nodes.values()].map(async node => node.close())));
	await Promise.all(addresses.map(async address => start(address, true)));
	await until(() => voters.length === 5);
	const leader = (): string | undefined => [...nodes].find(([, node]) => node.isLeader())?.[0];
	for (;;) {
		await until(() => leader() !== undefined);
		const address = leader()!;
		if (!seeds.includes(address)) {
			break;
		}

		await nodes.get(address)!.stop();
		nodes.delete(address);
		await until(() => leader() !== undefined);
		await start(address, false);
	}

	removedSeeds.clear();
	for (const address of lostSeeds) {
		await nodes.get(address)!.close();
		rmSync(folderOf(address), {recursive: true});
		await start(address, false);
	}

	await until(() => removedSeeds.size === lostSeeds.length && voters.length === 5);
	await delay(500);
	await Promise.all(addresses.slice(2, 4).map(async address => nodes.get(address)!.close()));
	const survivor = nodes.get(addresses[4]!)!;
	await until(async () => await survivor.submit({kind: 'configuration', number: 1, text: 'text 1'}) === 'stored');
	t.pass('the two and one other host are a majority');
});
