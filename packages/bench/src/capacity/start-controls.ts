import path from 'node:path';
import {waitUntil} from '@bitternpaddle/daemon';
import {freeAddresses} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import {startDaemon, type DaemonProcess} from './processes.js';

export type ControlProcess = DaemonProcess & {readonly address: string};

/** Control processes, all voters, and the one of them that leads. */
export type Controls = {readonly leader: ControlProcess; readonly followers: readonly ControlProcess[]; end(): Promise<void>};

const leaderOf = async (addresses: readonly string[]): Promise<string | null> => {
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
	let leaderId: string | null = null;
	await waitUntil('a control host leads', async () => {
		leaderId = await leaderOf(addresses);
		return leaderId !== null;
	});
	const leader = processes.get(leaderId!)!;
	return {
		leader,
		followers: [...processes.values()].filter(follower => follower !== leader),
		async end() {
			await Promise.all([...processes.values()].map(async control => control.end()));
		},
	};
};

