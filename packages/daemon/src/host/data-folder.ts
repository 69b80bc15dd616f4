import {mkdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {DamagedLogError, replaceFile} from '@bitternpaddle/state';
import * as z from 'zod';

/** Thrown if the data folder cannot or must not be used; the message names the path and the remedy. */
export class DataFolderError extends Error {
	override readonly name = 'DataFolderError';
}

/** Increased whenever the data folder's format changes in a way that older programs cannot read. */
const folderFormat = 1;

const ownerSchema = z.object({format: z.number().int().positive(), role: z.string(), hostId: z.string()});

export type DataFolderOwner = {readonly role: 'control' | 'agent'; readonly hostId: string};

const remedyByCode: Readonly<Record<string, string>> = {
	EACCES: 'this process may not use it; give it to the user that runs the process',
	EPERM: 'this process may not use it; give it to the user that runs the process',
	EROFS: 'the disk is read-only; repair or replace it',
	EIO: 'the disk reports I/O errors; replace it, then restore this host from its peers',
	ENOSPC: 'the disk is full; free space and start again, nothing that was accepted is lost',
	EDQUOT: 'the disk quota is exhausted; free space and start again, nothing that was accepted is lost',
	ENOTDIR: 'a file lies where a folder must be; move it away or give another --data-folder',
	EEXIST: 'a file lies where a folder must be; move it away or give another --data-folder',
	EISDIR: 'a folder lies where a file must be; move it away or give another --data-folder',
	ELOOP: 'its symbolic links form a loop; move it away or give another --data-folder',
};

/** Adds the remedy to a file system error; returns other errors unchanged. */
export const explainFolderError = (error: Error, folder: string): Error => {
	const {code = '', path: filePath = folder} = error as NodeJS.ErrnoException;
	const remedy = remedyByCode[code];
	return remedy === undefined ? error : new DataFolderError(`${filePath}: ${remedy} (${code})`);
};

/** Runs `work` on a data folder and adds the remedy to file system errors. */
export const withFolder = async <Result>(folder: string, work: () => Promise<Result>): Promise<Result> => {
	try {
		return await work();
	} catch (error) {
		throw explainFolderError(error as Error, folder);
	}
};

const readOwner = async (filePath: string): Promise<z.infer<typeof ownerSchema> | null> => {
	try {
		return ownerSchema.parse(JSON.parse(await readFile(filePath, 'utf8')));
	} catch (error) {
		const {code} = error as NodeJS.ErrnoException;
		if (code === 'ENOENT') {
			return null;
		}

		throw code === undefined ? new DamagedLogError(`${filePath} is damaged; move the folder aside and start this host with an empty one`) : error;
	}
};

/**
 * Claims the folder for this host, or throws. Two control hosts that start from
 * copies of one folder would both vote as the same member, and a program that
 * reads a newer format partially would drop the data that it does not know.
 */
export const claimDataFolder = async (folder: string, {role, hostId}: DataFolderOwner): Promise<void> => withFolder(folder, async () => {
	await mkdir(folder, {recursive: true});
	const filePath = path.join(folder, 'owner.json');
	const owner = await readOwner(filePath);
	if (owner === null) {
		await replaceFile(filePath, JSON.stringify({format: folderFormat, role, hostId}));
		return;
	}

	if (owner.format > folderFormat) {
		throw new DataFolderError(`${filePath} is of format ${owner.format}, this program supports formats up to ${folderFormat}; start the newer program, or use an empty folder`);
	}

	if (owner.hostId !== hostId || owner.role !== role) {
		throw new DataFolderError(`${folder} belongs to the ${owner.role} host ${owner.hostId}, this is the ${role} host ${hostId}; give each host a --data-folder of its own`);
	}
});
