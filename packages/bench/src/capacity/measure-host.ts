import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil} from '@bitternpaddle/daemon';
import {createFakeControl} from './fake-control.js';
import {hostCounts, withFolder, type Measured} from './measure-state.js';
import {
	readMemory, usageBetween, type ProcessMemory,
} from './process-usage.js';
import {startDaemon, startEmptyNode, type DaemonProcess} from './processes.js';
import {createSampleState} from './sample-state.js';
import type {Point} from './slope.js';

export type HostRole = 'entry' | 'agent';

/** Memory of one idle process, for the page's table of memory. */
export type IdleMemory = {readonly emptyNode: ProcessMemory} & Record<HostRole | 'control', ProcessMemory>;

export const startHost = (role: HostRole, controlAddress: string, folder: string): DaemonProcess => startDaemon({
	roles: role, 'host-id': `measured-${role}`, controls: `c1=${controlAddress}`, 'data-folder': path.join(folder, role),
	...(role === 'agent' ? {endpoint: '127.0.0.1:9', origin: '127.0.0.1:9'} : {'admin-tokens': 'administer:bench-token'}),
});

/** V8 gives memory back by a last collection that it starts some 8 s after the work; before that the figures are those of garbage. */
const settleMs = 24_000;

/** Private memory after a host took over a catalog of `hosts`. */
const memoryWith = async (role: HostRole, hosts: number): Promise<ProcessMemory> => withFolder(async folder => {
	const {catalog} = createSampleState(hosts);
	const control = await createFakeControl({catalog: () => catalog});
	const host = startHost(role, control.address, folder);
	try {
		await waitUntil(`${role} took the catalog`, async () => control.reports.get(`measured-${role}`)?.revision === catalog.revision);
		await delay(settleMs);
		return await readMemory(host.pid);
	} finally {
		await host.end();
		await control.close();
	}
});

/** What an idle host uses over some seconds. */
const measureIdle = async (role: HostRole): Promise<{processor: Point[]; bytes: Point[]}> => withFolder(async folder => {
	const {catalog} = createSampleState(hostCounts[0]);
	const control = await createFakeControl({catalog: () => catalog});
	const host = startHost(role, control.address, folder);
	try {
		await waitUntil(`${role} took the catalog`, async () => control.reports.get(`measured-${role}`)?.revision === catalog.revision);
		await delay(settleMs);
		const processor: Point[] = [];
		const bytes: Point[] = [];
		let processorMs = 0;
		let transferBytes = 0;
		for (const x of [2, 4, 6, 8, 10]) {
			const usage = await usageBetween(host.pid, async () => delay(2000));
			processorMs += usage.processorMs;
			transferBytes += usage.transferBytes;
			processor.push({x, y: processorMs});
			bytes.push({x, y: transferBytes});
		}

		return {processor, bytes};
	} finally {
		await host.end();
		await control.close();
	}
});

/** Entry and agent processes alone: idle, and with a catalog of the letter's size. */
export const measureHosts = async (): Promise<Measured> => {
	const lines: Measured = {};
	await Promise.all((['entry', 'agent'] as const).map(async role => {
		const {processor, bytes} = await measureIdle(role);
		lines[`${role}.idle.processor`] = processor;
		lines[`${role}.idle.bytes`] = bytes;
		lines[`${role}.catalog.memory`] = await Promise.all(hostCounts.map(async x => ({x, y: (await memoryWith(role, x)).privateBytes})));
	}));
	return lines;
};

/** Processes with next to nothing to hold, beside an empty Node process. */
export const measureIdleMemory = async (): Promise<IdleMemory> => withFolder(async folder => {
	const empty = startEmptyNode();
	const control = startDaemon({
		roles: 'control', 'host-id': 'c1', controls: 'c1=127.0.0.1:9', 'data-folder': path.join(folder, 'control'),
	});
	try {
		const [entry, agent] = await Promise.all([memoryWith('entry', 1), memoryWith('agent', 1)]);
		return {
			emptyNode: await readMemory(empty.pid), control: await readMemory(control.pid), entry, agent,
		};
	} finally {
		await empty.end();
		await control.end();
	}
});
