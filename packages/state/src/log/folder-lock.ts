import {
	link, mkdir, readFile, rename, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import * as z from 'zod';
import {readIfPresent} from './files.js';

/** Thrown if another process, or another host in this process, uses the folder. */
export class FolderInUseError extends Error {
	override readonly name = 'FolderInUseError';
}

export type FolderLock = {
	/** Allows others to use the folder; further calls have no effect. */
	release(): Promise<void>;
};

const ownerSchema = z.object({
	pid: z.number().int().positive(),
	/** Identifies this start of the process, because process ids are reused; `null` if the system does not tell it. */
	start: z.string().nullable(),
});

type Owner = z.infer<typeof ownerSchema>;

const lockName = 'in-use.json';
/** Locks that may disappear between the attempt to create one and the attempt to read it. */
const maxAttempts = 5;

/** Paths of the locks that this process holds: a lock of its own that is not among them was left by an earlier process with the same id. */
const heldPaths = new Set<string>();

/**
 * The boot of the machine and the start time of a process, as in `/proc`; `null` if there is
 * no such process or it has exited and was not yet reaped. Without `/proc` it is unknown.
 */
const readStart = async (pid: number): Promise<{readonly type: 'started'; readonly start: string} | {readonly type: 'exited'} | {readonly type: 'unknown'}> => {
	let boot: string;
	try {
		boot = (await readFile('/proc/sys/kernel/random/boot_id', 'utf8')).trim();
	} catch {
		return {type: 'unknown'};
	}

	try {
		const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
		// The name of the program, in parentheses, may contain spaces.
		const [state, ...fields] = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		return state === 'Z' || state === 'X' ? {type: 'exited'} : {type: 'started', start: `${boot}/${fields[18]}`};
	} catch {
		return {type: 'exited'};
	}
};

const isRunning = async ({pid, start}: Owner): Promise<boolean> => {
	const current = await readStart(pid);
	switch (current.type) {
		case 'started': {
			return start === null || current.start === start;
		}

		case 'exited': {
			return false;
		}

		case 'unknown': {
			try {
				return process.kill(pid, 0);
			} catch (error) {
				return (error as NodeJS.ErrnoException).code === 'EPERM';
			}
		}
	}
};

/** `null` if the lock is damaged, for example by a loss of power. */
const parseOwner = (text: string): Owner | null => {
	try {
		return ownerSchema.parse(JSON.parse(text));
	} catch {
		return null;
	}
};

const isInUse = async (lockPath: string, text: string): Promise<boolean> => {
	const owner = parseOwner(text);
	if (owner === null) {
		return false;
	}

	return owner.pid === process.pid ? heldPaths.has(lockPath) : isRunning(owner);
};

let lastTemporary = 0;

const temporaryPath = (lockPath: string): string => {
	lastTemporary++;
	return `${lockPath}.${process.pid}-${lastTemporary}`;
};

/** Gives the file at `filePath` the name of the lock; `false` if there is a lock. A link appears with its content, so that no other process reads half of it. */
const linkLock = async (filePath: string, lockPath: string): Promise<boolean> => {
	try {
		await link(filePath, lockPath);
		return true;
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'EEXIST') {
			return false;
		}

		throw error;
	}
};

const createLock = async (lockPath: string, text: string): Promise<boolean> => {
	const filePath = temporaryPath(lockPath);
	try {
		await writeFile(filePath, text);
		const isCreated = await linkLock(filePath, lockPath);
		return isCreated;
	} finally {
		await rm(filePath, {force: true});
	}
};

/** Removes an abandoned lock, unless another process has replaced it in the meantime. */
const removeAbandoned = async (lockPath: string, text: string): Promise<void> => {
	const movedPath = temporaryPath(lockPath);
	try {
		await rename(lockPath, movedPath);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return;
		}

		throw error;
	}

	if (await readFile(movedPath, 'utf8') !== text) {
		await linkLock(movedPath, lockPath);
	}

	await rm(movedPath, {force: true});
};

/**
 * Reserves a folder for one host in one process, or throws `FolderInUseError`. The lock of a
 * process that has exited, also by a crash, or that ran before the machine was restarted is
 * taken over.
 */
export const lockFolder = async (folder: string): Promise<FolderLock> => {
	await mkdir(folder, {recursive: true});
	const lockPath = path.resolve(folder, lockName);
	const own = await readStart(process.pid);
	const text = JSON.stringify({pid: process.pid, start: own.type === 'started' ? own.start : null} satisfies Owner);
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		if (heldPaths.has(lockPath)) {
			break;
		}

		if (await createLock(lockPath, text)) {
			heldPaths.add(lockPath);
			return {
				async release() {
					if (heldPaths.delete(lockPath)) {
						await rm(lockPath, {force: true});
					}
				},
			};
		}

		const present = await readIfPresent(lockPath);
		if (present === null) {
			continue;
		}

		if (await isInUse(lockPath, present.toString())) {
			throw new FolderInUseError(`${folder} is in use by process ${parseOwner(present.toString())!.pid}; stop it, or give each process a folder of its own`);
		}

		await removeAbandoned(lockPath, present.toString());
	}

	throw new FolderInUseError(`${folder} is in use by another host; give each host a folder of its own`);
};

/** Locks a folder and opens what is in it; releases the lock if that fails. */
export const openLocked = async <Opened>(folder: string, open: (lock: FolderLock) => Promise<Opened>): Promise<Opened> => {
	const lock = await lockFolder(folder);
	try {
		return await open(lock);
	} catch (error) {
		await lock.release();
		throw error;
	}
};
