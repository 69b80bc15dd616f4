import {createReadStream} from 'node:fs';
import {
	mkdir, open, readdir, rm,
} from 'node:fs/promises';
import path from 'node:path';
import {chunkRange, type Manifest} from '../manifest/manifest.js';
import type {ManifestId} from '../types/ids.js';
import {createPacedDigest, digestPaced} from './paced-digest.js';

/** Stores the chunks of one manifest on this host, in one file with each chunk at its offset. */
export type ChunkStore = {
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
	/** Path of the file, which the engine reads once all chunks are present. */
	readonly filePath: string;
	has(index: number): boolean;
	heldChunks(): readonly number[];
	isComplete(): boolean;
	/** Stores the chunk if its digest matches; otherwise returns `false` and leaves the store unchanged. */
	put(index: number, data: Uint8Array): Promise<boolean>;
	read(index: number): Promise<Uint8Array>;
	/** Reads the file at `filePath`, as the engine does, and compares its digest with the manifest's `wholeDigest`. */
	verifyComplete(): Promise<boolean>;
	close(): Promise<void>;
	remove(): Promise<void>;
};

export type OpenChunkStoreOptions = {
	readonly folder: string;
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
};

const fileSuffix = '.weights';
const readBytes = 1024 * 1024;

const fileNameOf = (manifestId: ManifestId): string => `${manifestId.slice('sha256:'.length)}${fileSuffix}`;

/** Removes the files of all manifests that are not in `retained`, as left by earlier processes. */
export const removeOtherStores = async (folder: string, retained: readonly ManifestId[]): Promise<void> => {
	const retainedNames = new Set(retained.map(manifestId => fileNameOf(manifestId)));
	for (const name of await readdir(folder)) {
		if (name.endsWith(fileSuffix) && !retainedNames.has(name)) {
			await rm(path.join(folder, name), {force: true});
		}
	}
};

/**
 * Opens or resumes a store. The content left by an earlier process is verified
 * chunk by chunk: a crash can leave a partially written chunk, which must be
 * fetched again and never sent to a peer.
 */
export const openChunkStore = async ({folder, manifestId, manifest}: OpenChunkStoreOptions): Promise<ChunkStore> => {
	await mkdir(folder, {recursive: true});
	const filePath = path.join(folder, fileNameOf(manifestId));
	const file = await open(filePath, 'a+').then(async created => {
		await created.close();
		return open(filePath, 'r+');
	});
	const held = new Set<number>();
	let isClosed = false;
	const {size: existingBytes} = await file.stat();
	if (existingBytes > manifest.sizeBytes) {
		await file.truncate(manifest.sizeBytes);
	}

	const readRange = async (index: number): Promise<Uint8Array> => {
		const {startByte, sizeBytes} = chunkRange(manifest, index);
		const buffer = new Uint8Array(sizeBytes);
		const {bytesRead} = await file.read(buffer, 0, sizeBytes, startByte);
		return buffer.subarray(0, bytesRead);
	};

	/** Repeats partial writes, which a nearly full disk accepts without an error. */
	const writeFully = async (data: Uint8Array, startByte: number): Promise<void> => {
		let written = 0;
		while (written < data.length) {
			const {bytesWritten} = await file.write(data, written, data.length - written, startByte + written);
			written += bytesWritten;
		}
	};

	const existingChunks = Math.ceil(Math.min(existingBytes, manifest.sizeBytes) / manifest.chunkSizeBytes);
	for (let index = 0; index < existingChunks; index++) {
		if (await digestPaced(await readRange(index)) === manifest.chunkDigests[index]) {
			held.add(index);
		}
	}

	return {
		manifestId,
		manifest,
		filePath,
		has: index => held.has(index),
		heldChunks: () => [...held],
		isComplete: () => held.size === manifest.chunkDigests.length,
		async put(index, data) {
			if (await digestPaced(data) !== manifest.chunkDigests[index] || isClosed) {
				return false;
			}

			try {
				await writeFully(data, chunkRange(manifest, index).startByte);
			} catch (error) {
				// The store was closed during the write.
				if (isClosed) {
					return false;
				}

				throw error;
			}

			held.add(index);
			return true;
		},
		async read(index) {
			if (!held.has(index)) {
				throw new Error(`chunk ${index} of ${manifestId} is not held`);
			}

			return readRange(index);
		},
		async verifyComplete() {
			const digest = createPacedDigest();
			try {
				// Not through `file`: that one stays readable after the file has been removed or replaced.
				for await (const part of createReadStream(filePath, {highWaterMark: readBytes})) {
					if (isClosed) {
						throw new Error(`the store of ${manifestId} was closed`);
					}

					await digest.update(part as Uint8Array);
				}
			} catch (error) {
				if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
					return false;
				}

				throw error;
			}

			return digest.end() === manifest.wholeDigest;
		},
		async close() {
			isClosed = true;
			await file.close();
		},
		async remove() {
			isClosed = true;
			await file.close();
			await rm(filePath, {force: true});
		},
	};
};
