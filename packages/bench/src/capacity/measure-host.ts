import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil} from '@bitternpaddle/daemon';
import {createFakeControl} from './fake-control.js';
import {hostCounts, withTemporaryFolder, type Measured} from './measure-state.js';
import {
	readMemory, measureUsage, type ProcessMemory,
} from './process-usage.js';
import {startDaemon, startEmptyNode, type DaemonProcess} from './processes.js';
import {createSampleState} from './sample-state.js';
import type {Point} from './slope.js';

export type HostRole = 'entry' | 'agent';

/** Memory of idle processes, for the memory table of the page. */
export type IdleMemory = {readonly emptyNode: ProcessMemory} & Record<HostRole | 'control', ProcessMemory>;

export const startHost = (role: HostRole, controlAddress: string, folder: string): DaemonProcess => startDaemon({
	roles: role, 'host-id': `measured-${role}`, controls: `c1=${controlAddress}`, 'data-folder': path.join(folder, role),
	...(role === 'agent' ? {endpoint: '127.0.0.1:9', origin: '127.0.0.1:9'} : {'admin-tokens': 'administer:bench-token'}),
});

/** V8 returns memory in a final garbage collection that it starts about 8 s after the work; earlier measurements would include garbage. */
const garbageCollectionMs = 24_000;

/** Returns the memory of a host process that has received a catalog of `hosts` hosts. */
const measureMemory = async (role: HostRole, hosts: number): Promise<ProcessMemory> => withTemporaryFolder(async folder => {
	const {catalog} = createSampleState(hosts);
	const control = await createFakeControl({catalog: () => catalog});
	const host = startHost(role, control.address, folder);
	try {
		await waitUntil(`the ${role} has received the catalog`, async () => control.reports.get(`measured-${role}`)?.revision === catalog.revision);
		await delay(garbageCollectionMs);
		return await readMemory(host.pid);
	} finally {
		await host.terminate();
		await control.close();
	}
});

/** Measures the accumulated CPU time and traffic of an idle host over ten seconds. */
const measureIdle = async (role: HostRole): Promise<{processor: Point[]; bytes: Point[]}> => withTemporaryFolder(async folder => {
	const {catalog} = createSampleState(hostCounts[0]);
	const control = await createFakeControl({catalog: () => catalog});
	const host = startHost(role, control.address, folder);
	try {
		await waitUntil(`the ${role} has received the catalog`, async () => control.reports.get(`measured-${role}`)?.revision === catalog.revision);
		await delay(garbageCollectionMs);
		const processor: Point[] = [];
		const bytes: Point[] = [];
		let processorMs = 0;
		let transferBytes = 0;
		for (const x of [2, 4, 6, 8, 10]) {
			const usage = await measureUsage(host.pid, async () => delay(2000));
			processorMs += usage.processorMs;
			transferBytes += usage.transferBytes;
			processor.push({x, y: processorMs});
			bytes.push({x, y: transferBytes});
		}

		return {processor, bytes};
	} finally {
		await host.terminate();
		await control.close();
	}
});

/** Measures entry and agent processes in isolation: idle usage, and memory by the size of the catalog up to that of the target deployment. */
export const measureHosts = async (): Promise<Measured> => {
	const slopePoints: Measured = {};
	await Promise.all((['entry', 'agent'] as const).map(async role => {
		const {processor, bytes} = await measureIdle(role);
		slopePoints[`${role}.idle.processor`] = processor;
		slopePoints[`${role}.idle.bytes`] = bytes;
		slopePoints[`${role}.catalog.memory`] = await Promise.all(hostCounts.map(async x => ({x, y: (await measureMemory(role, x)).privateBytes})));
	}));
	return slopePoints;
};

/** Measures processes with an almost empty catalog, and an empty Node process for comparison. */
export const measureIdleMemory = async (): Promise<IdleMemory> => withTemporaryFolder(async folder => {
	const empty = startEmptyNode();
	const control = startDaemon({
		roles: 'control', 'host-id': 'c1', controls: 'c1=127.0.0.1:9', 'data-folder': path.join(folder, 'control'),
	});
	try {
		const [entry, agent] = await Promise.all([measureMemory('entry', 1), measureMemory('agent', 1)]);
		return {
			emptyNode: await readMemory(empty.pid), control: await readMemory(control.pid), entry, agent,
		};
	} finally {
		await empty.terminate();
		await control.terminate();
	}
});
