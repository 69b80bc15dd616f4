import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {waitUntil} from '@bitternpaddle/daemon';
import {freeAddresses} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';

const daemonFile = fileURLToPath(new URL('../../../daemon/bin/bitternpaddled.js', import.meta.url));

type Readiness = {readonly isReady: boolean; readonly leaderId: string | null; readonly revision: number};

/** Control hosts that each run in their own process, so that they can be killed. */
export type ControlProcesses = {
	readonly addresses: ReadonlyMap<string, string>;
	readiness(hostId: string): Promise<Readiness | null>;
	leader(): Promise<string>;
	kill(hostId: string): Promise<void>;
	/** Sends the signal and waits for the process to exit. */
	terminate(hostId: string, signal: 'SIGTERM' | 'SIGKILL'): Promise<void>;
	start(hostId: string): void;
	close(): Promise<void>;
};

export const startControlProcesses = async (count: number): Promise<ControlProcesses> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-bench-'));
	const addresses = new Map((await freeAddresses(count)).map((address, index) => [`c${index + 1}`, address]));
	const controls = [...addresses].map(([id, address]) => `${id}=${address}`).join(',');
	const children = new Map<string, ChildProcess>();

	const start = (hostId: string): void => {
		const flags = {
			roles: 'control', 'host-id': hostId, listen: addresses.get(hostId)!, controls, 'data-folder': path.join(folder, hostId), 'log-level': 'error',
		};
		const flagArguments = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]);
		children.set(hostId, spawn(process.execPath, [daemonFile, 'run', ...flagArguments], {stdio: ['ignore', 'ignore', 'inherit']}));
	};

	const readiness = async (hostId: string): Promise<Readiness | null> => {
		try {
			const response = await sendHttp({
				address: addresses.get(hostId)!, path: '/readyz', idleTimeoutMs: 1000, agent: false,
			});
			const body = JSON.parse((await readBody(response)).toString()) as Omit<Readiness, 'isReady'>;
			return {...body, isReady: response.statusCode === 200};
		} catch {
			return null;
		}
	};

	const terminate = async (hostId: string, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> => {
		const child = children.get(hostId);
		children.delete(hostId);
		if (child === undefined) {
			return;
		}

		const exited = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill(signal);
		await exited;
	};

	const kill = async (hostId: string): Promise<void> => terminate(hostId, 'SIGKILL');

	for (const hostId of addresses.keys()) {
		start(hostId);
	}

	await waitUntil('all control hosts are ready', async () => {
		const all = await Promise.all([...addresses.keys()].map(async hostId => readiness(hostId)));
		return all.every(one => one?.isReady);
	});
	return {
		addresses, readiness, kill, terminate, start,
		async leader() {
			for (;;) {
				for (const hostId of children.keys()) {
					const state = await readiness(hostId);
					if (state?.isReady && state.leaderId !== null) {
						return state.leaderId;
					}
				}

				await delay(20);
			}
		},
		async close() {
			await Promise.all([...children.keys()].map(async hostId => kill(hostId)));
			await rm(folder, {recursive: true, force: true});
		},
	};
};
