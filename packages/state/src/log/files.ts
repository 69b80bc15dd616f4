import type {Buffer} from 'node:buffer';
import {
	open, readFile, rename, writeFile,
} from 'node:fs/promises';
import path from 'node:path';

export const readIfPresent = async (filePath: string): Promise<Buffer | null> => {
	try {
		return await readFile(filePath);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return null;
		}

		throw error;
	}
};

export const syncFolder = async (folder: string): Promise<void> => {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
};

/** Atomically replaces `filePath` by `data`: after a crash the file has either the old or the complete new content. */
export const replaceFile = async (filePath: string, data: Buffer | string | AsyncIterable<string> | Iterable<Buffer>): Promise<void> => {
	const handle = await open(`${filePath}.new`, 'w');
	try {
		await writeFile(handle, data);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await rename(`${filePath}.new`, filePath);
	await syncFolder(path.dirname(filePath));
};
