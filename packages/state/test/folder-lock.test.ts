import type {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	readdir, readFile, rm, utimes, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import t, {type Test} from 'tap';
import {testFolder} from '@bitternpaddle/test-support';
import {FolderInUseError, lockFolder} from '@bitternpaddle/state';

const lockProgram = `
	import {lockFolder} from '@bitternpaddle/state';
	try {
		await lockFolder(process.argv[1]);
		console.log('locked');
		setInterval(() => undefined, 1000);
	} catch (error) {
		console.log(error.name);
	}
`;

/** A process that stops before the content of its lock is written, until it is sent SIGUSR2. */
const slowLockProgram = `
	import {open} from 'node:fs/promises';
	const handle = await open('/dev/null', 'w');
	const prototype = Object.getPrototypeOf(handle);
	const {writeFile} = prototype;
	prototype.writeFile = async function (...values) {
		await new Promise(resolve => {
			process.once('SIGUSR2', resolve);
		});
		return writeFile.apply(this, values);
	};
	setInterval(() => undefined, 1000);
	${lockProgram}
`;

const spawnProgram = (program: string, folder: string) => spawn(process.execPath, ['--input-type=module', '--eval', program, folder], {stdio: ['ignore', 'pipe', 'inherit']});

/** Locks the folder in another process; resolves with what that process prints first, and a function that kills it. */
const lockElsewhere = async (t: Test, folder: string, child = spawnProgram(lockProgram, folder)): Promise<{text: string; kill(): Promise<void>}> => {
	const exited = new Promise<void>(resolve => {
		child.once('exit', () => {
			resolve();
		});
	});
	const kill = async (): Promise<void> => {
		child.kill('SIGKILL');
		await exited;
	};

	t.teardown(kill);
	const text = await new Promise<string>(resolve => {
		child.stdout.once('data', (data: Buffer) => {
			resolve(data.toString().trim());
		});
	});
	return {text, kill};
};

// Guards against two hosts that write one log.
t.test('a folder is used by one host at a time', async t => {
	const folder = testFolder(t);
	const results = await Promise.allSettled([lockFolder(folder), lockFolder(folder)]);
	const locks = results.filter(result => result.status === 'fulfilled');
	t.equal(locks.length, 1, 'one of two in the same process');
	t.equal((await lockElsewhere(t, folder)).text, 'FolderInUseError', 'none in another process');
	await locks[0]!.value.release();
	const other = await lockElsewhere(t, folder);
	t.equal(other.text, 'locked', 'another process once it is released');
	await t.rejects(lockFolder(folder), FolderInUseError);
	await locks[0]!.value.release();
	await t.rejects(lockFolder(folder), FolderInUseError, 'a second release does not remove the lock of another');
});

// Guards against a host that cannot restart after a crash.
t.test('the lock of a process that has exited is taken over', async t => {
	const folder = testFolder(t);
	const other = await lockElsewhere(t, folder);
	t.equal(other.text, 'locked');
	await other.kill();
	const lock = await lockFolder(folder);
	await lock.release();
	t.same(await readdir(folder), [], 'nothing remains');
});

t.test('a lock is abandoned if its process id was reused, the machine was restarted or it is damaged', async t => {
	const folder = testFolder(t);
	const lock = await lockFolder(folder);
	const [name] = await readdir(folder);
	const filePath = path.join(folder, name!);
	const {start} = JSON.parse(await readFile(filePath, 'utf8')) as {start: string};
	await lock.release();
	const ownStart = start.slice(start.indexOf('/') + 1);
	for (const text of [
		JSON.stringify({pid: process.ppid, start: `${start}0`}),
		JSON.stringify({pid: process.pid, start}),
		JSON.stringify({pid: process.ppid, start: `another-boot/${ownStart}`}),
		'{"pid":',
	]) {
		await writeFile(filePath, text);
		await utimes(filePath, 0, 0);
		await (await lockFolder(folder)).release();
	}

	await writeFile(filePath, '{"pid":');
	await t.rejects(lockFolder(folder), FolderInUseError, 'a lock that is being written');
	await rm(filePath);

	t.same(await readdir(folder), []);
});

// Guards against two hosts that write one log: a process that was suspended while
// it wrote its lock, until the lock counted as damaged and was taken over, must
// not assume that it holds the folder.
t.test('a process whose incomplete lock was taken over does not hold the folder', {timeout: 30_000}, async t => {
	const folder = testFolder(t);
	const child = spawnProgram(slowLockProgram, folder);
	const suspended = lockElsewhere(t, folder, child);
	let names: string[] = [];
	while (names.length === 0) {
		names = await readdir(folder);
	}

	await utimes(path.join(folder, names[0]!), 0, 0);
	const lock = await lockFolder(folder);
	child.kill('SIGUSR2');
	t.equal((await suspended).text, 'FolderInUseError');
	await lock.release();
	t.same(await readdir(folder), []);
});
