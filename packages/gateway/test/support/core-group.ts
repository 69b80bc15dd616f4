import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock, type EndpointState} from '@bitternpaddle/coordination';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {callRpc, silentLogger, type Logger} from '@bitternpaddle/transport';
import type {Test} from 'tap';
import {createCoreNode, type CoreNode, type WatchResult} from '@bitternpaddle/gateway';

const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});

type StartOptions = {readonly selfAddress: string; readonly seeds: readonly string[]; readonly folder: string | null; readonly isFirstStart?: boolean; readonly logger?: Logger};

export const startCore = async (t: Test, {selfAddress, seeds, folder, isFirstStart = false, logger = silentLogger}: StartOptions): Promise<CoreNode> => {
	const node = await createCoreNode({
		selfAddress, zoneId: 'z1', regionId: 'r1', folder, isFirstStart, seeds: () => seeds, toleratedLosses: 1, clock, logger,
	});
	t.teardown(async () => node.close());
	return node;
};

/** Repeats a check until it holds. */
export const until = async (check: () => Promise<boolean>): Promise<void> => {
	while (!await check()) {
		await delay(30);
	}
};

/** The current result for an entry that has just started to follow a core host. */
export const watch = async (address: string): Promise<WatchResult> => callRpc<WatchResult>({
	address, method: 'gateway.watch', timeoutMs: 2000, params: {
		follower: {
			role: 'entry', address: '127.0.0.1:1', zoneId: 'z1', regionId: 'r1', endpointAddress: null, serviceName: null,
		}, epoch: '', position: 0, configurationNumber: -1, versionsHash: '', rosterHash: '', waitMs: 0,
	},
});

export type CoreGroup = {
	readonly seeds: readonly string[];
	nodes: CoreNode[];
	/** Starts a core host, which was closed, with its disk again. */
	startAgain(index: number): Promise<void>;
	/** Ends all core hosts and starts them again with their disks; resolves once they confirm what is in force. */
	restart(): Promise<void>;
	stateAt(index: number, id?: string): Promise<EndpointState | undefined>;
};

/** Starts three core hosts. */
export const createCoreGroup = async (t: Test, logger?: Logger): Promise<CoreGroup> => {
	const seeds = await freeAddresses(3);
	const folder = testFolder(t);
	const startOne = async (index: number, isFirstStart: boolean): Promise<CoreNode> => startCore(t, {
		selfAddress: seeds[index]!, seeds, folder: path.join(folder, `c${index}`), isFirstStart, logger,
	});
	const startAll = async (isFirstStart: boolean): Promise<CoreNode[]> => Promise.all(seeds.map(async (_, index) => startOne(index, isFirstStart)));
	const group: CoreGroup = {
		seeds, nodes: await startAll(true),
		async startAgain(index) {
			group.nodes[index] = await startOne(index, false);
		},
		async restart() {
			await Promise.all(group.nodes.map(async node => node.close()));
			group.nodes = await startAll(false);
			await until(async () => (await Promise.all(seeds.map(async seed => watch(seed)))).every(({freshAgeMs}) => freshAgeMs !== null));
		},
		async stateAt(index, id = 'e1') {
			const {announcements} = await watch(seeds[index]!);
			return announcements.find(announcement => announcement.id === id)?.state;
		},
	};
	return group;
};
