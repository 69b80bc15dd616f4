import path from 'node:path';
import {waitUntil} from '@bitternpaddle/daemon';
import {freeAddresses} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import {startDaemon, type DaemonProcess} from './processes.js';

export type ControlProcess = DaemonProcess & {readonly address: string};

/** Control processes, all of them voters, grouped into leader and followers. */
export type Controls = {readonly leader: ControlProcess; readonly followers: readonly ControlProcess[]; terminate(): Promise<void>};

/** Long enough that a busy machine degrades a measurement but does not abort it. */
export const startupTimeoutMs = 120_000;

const findLeader = async (addresses: readonly string[]): Promise<string | null> => {
	for (const address of addresses) {
		const answer = await sendHttp({address, path: '/readyz', idleTimeoutMs: 1000}).then(async response => readBody(response)).catch(() => null);
		const {leaderId = null} = JSON.parse(answer?.toString() ?? '{}') as {leaderId?: string | null};
		if (leaderId !== null) {
			return leaderId;
		}
	}

	return null;
};

export const startControls = async (folder: string, count = 3): Promise<Controls> => {
	const addresses = await freeAddresses(count);
	const ids = addresses.map((_, index) => `c${index + 1}`);
	const controls = addresses.map((address, index) => `${ids[index]}=${address}`).join(',');
	const processes = new Map<string, ControlProcess>(addresses.map((address, index) => [ids[index]!, {
		address, ...startDaemon({
			roles: 'control', 'host-id': ids[index]!, listen: address, controls, 'data-folder': path.join(folder, ids[index]!),
		}),
	}]));
	const terminate = async (): Promise<void> => {
		await Promise.all([...processes.values()].map(async control => control.terminate()));
	};

	let leaderId: string | null = null;
	await waitUntil('a control host is the leader', async () => {
		leaderId = await findLeader(addresses);
		return leaderId !== null;
	}, {timeoutMs: startupTimeoutMs}).catch(async (error: unknown) => {
		// The caller has no reference to these processes yet and cannot terminate them.
		await terminate();
		throw error;
	});
	const leader = processes.get(leaderId!)!;
	return {
		leader,
		followers: [...processes.values()].filter(follower => follower !== leader),
		terminate,
	};
};

