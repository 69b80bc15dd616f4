import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {waitUntil} from '@bitternpaddle/daemon';
import type {FakeMessage, FakeRole, PublishedVersion} from './burst-fake.js';

/** A fake engine or origin in its own process: 64 engines that load at the same time in one process would delay each other's responses and the callers. */
export type FakeProcess = {
	readonly address: string;
	readonly versions: readonly PublishedVersion[];
	/** Digest of the weights that the engine holds, at most 100 ms old. */
	heldDigest(): string | null;
	sentBytes(): number;
	close(): void;
};

const programFile = fileURLToPath(new URL('burst-fake.js', import.meta.url));

export const startFake = async (role: FakeRole): Promise<FakeProcess> => {
	const child = fork(programFile, [JSON.stringify(role)]);
	let listening: Extract<FakeMessage, {type: 'listening'}> | null = null;
	let heldDigest: string | null = null;
	let sentBytes = 0;
	child.on('message', (message: FakeMessage) => {
		switch (message.type) {
			case 'listening': {
				listening = message;
				break;
			}

			case 'holds': {
				heldDigest = message.digest;
				break;
			}

			case 'sent': {
				sentBytes = message.sentBytes;
				break;
			}
		}
	});
	await waitUntil('the fake is listening', () => listening !== null, {timeoutMs: 60_000});
	const {address, versions} = listening!;
	return {
		address, versions, heldDigest: () => heldDigest, sentBytes: () => sentBytes,
		close() {
			child.kill('SIGKILL');
		},
	};
};
