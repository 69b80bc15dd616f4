import {
	mkdir, open, readFile, rename, rm, stat, type FileHandle,
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
/** An incomplete lock that is older was left by a crash or a loss of power. */
const maxWriteMs = 2000;

/** Paths of the locks that this process holds or attempts to create. */
const reservedPaths = new Set<string>();

/** `exited`: also if the process was not yet reaped. `unknown`: there is no `/proc`. */
type ProcessState
	= | {readonly type: 'started'; /** The boot of the machine and the start time of the process. */ readonly start: string}
		| {readonly type: 'exited'}
		| {readonly type: 'unknown'};

const readProcessState = async (pid: number): Promise<ProcessState> => {
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
	const current = await readProcessState(pid);
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

/** `null` if the lock is incomplete. */
const parseOwner = (text: string): Owner | null => {
	try {
		return ownerSchema.parse(JSON.parse(text));
	} catch {
		return null;
	}
};

const isBeingWritten = async (lockPath: string): Promise<boolean> => {
	try {
		const {mtimeMs} = await stat(lockPath);
		return Math.abs(Date.now() - mtimeMs) < maxWriteMs;
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return false;
		}

		throw error;
	}
};

const isInUse = async (lockPath: string, text: string): Promise<boolean> => {
	const owner = parseOwner(text);
	if (owner === null) {
		return isBeingWritten(lockPath);
	}

	// The path is reserved for the caller, so a lock of this process id was left by an earlier process with the same id.
	return owner.pid !== process.pid && isRunning(owner);
};

/** Nothing can be written to a folder on a full disk, and its data must still be readable. */
const fullDiskCodes: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT']);

type Creation = 'created' | 'exists' | 'diskFull';

/** Creates the lock, and reads it back. Not every platform has links, so it may be seen before it has its content. */
const createLock = async (lockPath: string, text: string): Promise<Creation> => {
	let handle: FileHandle;
	try {
		handle = await open(lockPath, 'wx');
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		if (code === 'EEXIST') {
			return 'exists';
		}

		if (fullDiskCodes.has(code)) {
			return 'diskFull';
		}

		throw error;
	}

	try {
		await handle.writeFile(text);
		// Another process may have taken over the incomplete lock, if this one was suspended until it looked abandoned.
		const present = await readIfPresent(lockPath);
		return present?.toString() === text ? 'created' : 'exists';
	} catch (error) {
		await rm(lockPath, {force: true});
		if (fullDiskCodes.has((error as NodeJS.ErrnoException).code)) {
			return 'diskFull';
		}

		throw error;
	} finally {
		await handle.close();
	}
};

/** Removes an abandoned lock, unless another process has replaced it in the meantime. */
const removeAbandoned = async (lockPath: string, text: string): Promise<void> => {
	const movedPath = `${lockPath}.${process.pid}`;
	try {
		await rename(lockPath, movedPath);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return;
		}

		throw error;
	}

	const moved = await readFile(movedPath, 'utf8');
	if (moved !== text) {
		await createLock(lockPath, moved);
	}

	await rm(movedPath, {force: true});
};

/**
 * Reserves a folder for one host in one process, or throws `FolderInUseError`. The lock of a
 * process that has exited, also by a crash, or that ran before the machine was restarted is
 * taken over. On a full disk only hosts in this process are excluded.
 */
export const lockFolder = async (folder: string): Promise<FolderLock> => {
	await mkdir(folder, {recursive: true});
	const lockPath = path.resolve(folder, lockName);
	const own = await readProcessState(process.pid);
	const text = JSON.stringify({pid: process.pid, start: own.type === 'started' ? own.start : null} satisfies Owner);
	if (reservedPaths.has(lockPath)) {
		throw new FolderInUseError(inUseByAnotherHost(folder));
	}

	// Before anything is awaited: the file of a host that is still creating its lock would look like one of an earlier process.
	reservedPaths.add(lockPath);
	try {
		const isCreated = await acquireLock(folder, lockPath, text);
		let isReleased = false;
		return {
			async release() {
				if (isReleased) {
					return;
				}

				isReleased = true;
				try {
					if (isCreated) {
						await rm(lockPath, {force: true});
					}
				} finally {
					reservedPaths.delete(lockPath);
				}
			},
		};
	} catch (error) {
		reservedPaths.delete(lockPath);
		throw error;
	}
};

const inUseByAnotherHost = (folder: string): string => `${folder} is in use by another host; give each host a folder of its own`;

/** Creates the lock or takes over an abandoned one; `false` if the disk is full, so that there is none. */
const acquireLock = async (folder: string, lockPath: string, text: string): Promise<boolean> => {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const creation = await createLock(lockPath, text);
		if (creation !== 'exists') {
			return creation === 'created';
		}

		const present = await readIfPresent(lockPath);
		if (present === null) {
			continue;
		}

		if (await isInUse(lockPath, present.toString())) {
			const pid = parseOwner(present.toString())?.pid;
			throw new FolderInUseError(`${folder} is in use by ${pid === undefined ? 'another process that has just started' : `process ${pid}`}; stop it, or give each process a folder of its own`);
		}

		await removeAbandoned(lockPath, present.toString());
	}

	throw new FolderInUseError(inUseByAnotherHost(folder));
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
