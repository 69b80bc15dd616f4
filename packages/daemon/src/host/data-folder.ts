import {mkdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {DamagedLogError, replaceFile} from '@bitternpaddle/state';
import * as z from 'zod';

/** The data folder cannot or must not be used; the message names the path and what to do. */
export class DataFolderError extends Error {
	override readonly name = 'DataFolderError';
}

/** Grows when what lies in a data folder changes so that older programs cannot read it. */
const folderFormat = 1;

const ownerSchema = z.object({format: z.number().int().positive(), role: z.string(), hostId: z.string()});

export type DataFolderOwner = {readonly role: 'control' | 'agent'; readonly hostId: string};

const adviceByCode: Readonly<Record<string, string>> = {
	EACCES: 'this process may not use it; give it to the user that runs the process',
	EPERM: 'this process may not use it; give it to the user that runs the process',
	EROFS: 'the disk is read-only; mend or replace it',
	EIO: 'the disk fails; replace it, then restore this host from its peers',
	ENOSPC: 'the disk is full; free space and start again, nothing that was accepted is lost',
	EDQUOT: 'the quota is used up; free space and start again, nothing that was accepted is lost',
	ENOTDIR: 'a file lies where a folder must be; move it away or give another --data-folder',
	EEXIST: 'a file lies where a folder must be; move it away or give another --data-folder',
	EISDIR: 'a folder lies where a file must be; move it away or give another --data-folder',
	ELOOP: 'a link leads back to itself; move it away or give another --data-folder',
};

/** Says what to do about an error of the file system; other errors stay as they are. */
export const explainFolderError = (error: Error, folder: string): Error => {
	const {code = '', path: filePath = folder} = error as NodeJS.ErrnoException;
	const advice = adviceByCode[code];
	return advice === undefined ? error : new DataFolderError(`${filePath}: ${advice} (${code})`);
};

/** Runs work on a data folder, with errors that say what to do. */
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
 * Makes the folder this host's own, or refuses it. Two control hosts that
 * start from copies of one folder would both vote as the same member, and a
 * program that reads a newer format half would drop what it does not know.
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
		throw new DataFolderError(`${filePath} is of format ${owner.format}, this program knows up to ${folderFormat}; start the newer program, or an empty folder`);
	}

	if (owner.hostId !== hostId || owner.role !== role) {
		throw new DataFolderError(`${folder} belongs to the ${owner.role} host ${owner.hostId}, this is the ${role} host ${hostId}; give each host a --data-folder of its own`);
	}
});
