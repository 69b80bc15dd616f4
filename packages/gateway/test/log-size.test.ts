import {readdirSync, statSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createSuspendAwareClock} from '@bitternpaddle/coordination';
import {freeAddresses, testFolder} from '@bitternpaddle/test-support';
import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {createCoreNode} from '@bitternpaddle/gateway';

const clock = createSuspendAwareClock({steadyNowMs: () => performance.now(), wallNowMs: () => Date.now()});
const changes = 40;
const textBytes = 1_000_000;
/** Half of the smallest disk of a core host, 64 MB. */
const maxFolderBytes = 32 * 1024 * 1024;

const folderBytes = (folder: string): number => {
	let bytes = 0;
	for (const name of readdirSync(folder)) {
		// A file may be removed in the meantime.
		bytes += statSync(path.join(folder, name), {throwIfNoEntry: false})?.size ?? 0;
	}

	return bytes;
};

// Guards against changes of a long configuration that fill the disks of all core hosts, after which nothing is acknowledged.
t.test('the log of a core host stays far below the size of its disk', async t => {
	const [address] = await freeAddresses(1);
	const folder = path.join(testFolder(t), 'core');
	const start = async (isFirstStart: boolean) => createCoreNode({
		selfAddress: address!, zoneId: 'z', regionId: 'r', folder, isFirstStart, seeds: () => [address!], toleratedLosses: 0, clock, logger: silentLogger,
	});
	const textOf = (number: number): string => `${number} ${'x'.repeat(textBytes)}`;
	const before = await start(true);
	let largestBytes = 0;
	for (let number = 1; number <= changes; number++) {
		while (await before.submit({kind: 'configuration', number, text: textOf(number)}) === 'unknown') {
			await delay(30);
		}

		largestBytes = Math.max(largestBytes, folderBytes(folder));
	}

	await before.close();
	t.ok(largestBytes < maxFolderBytes, `${largestBytes} bytes after ${changes} changes of ${textBytes} bytes`);
	const after = await start(false);
	t.teardown(async () => after.close());
	for (;;) {
		const read = await after.read();
		if (read.type === 'text') {
			t.ok(read.text === textOf(changes), 'the last change is in force after a restart');
			break;
		}

		await delay(30);
	}
});
