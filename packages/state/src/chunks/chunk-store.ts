import {
	mkdir, open, readdir, rm,
} from 'node:fs/promises';
import path from 'node:path';
import {chunkRange, type Manifest} from '../manifest/manifest.js';
import type {ManifestId} from '../types/ids.js';
import {createPacedDigest, digestPaced} from './paced-digest.js';

/** The chunks of one manifest on this host: one file, each chunk at its place. */
export type ChunkStore = {
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
	/** Where the bytes lie, for the engine once the set is whole. */
	readonly filePath: string;
	has(index: number): boolean;
	heldChunks(): readonly number[];
	isComplete(): boolean;
	/** Stores the chunk if its digest is right; `false` leaves the store unchanged. */
	put(index: number, data: Uint8Array): Promise<boolean>;
	read(index: number): Promise<Uint8Array>;
	/** Reads everything back and holds it against the whole digest. */
	verifyWhole(): Promise<boolean>;
	close(): Promise<void>;
	remove(): Promise<void>;
};

export type OpenChunkStoreOptions = {
	readonly folder: string;
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
};

const fileSuffix = '.weights';

const fileNameOf = (manifestId: ManifestId): string => `${manifestId.slice('sha256:'.length)}${fileSuffix}`;

/** Removes what earlier processes left of versions that are not among `kept`. */
export const removeOtherStores = async (folder: string, kept: readonly ManifestId[]): Promise<void> => {
	const keptNames = new Set(kept.map(manifestId => fileNameOf(manifestId)));
	for (const name of await readdir(folder)) {
		if (name.endsWith(fileSuffix) && !keptNames.has(name)) {
			await rm(path.join(folder, name), {force: true});
		}
	}
};

/**
 * Opens or resumes a store. What an earlier process left is verified chunk by
 * chunk: a crash may leave a chunk half written, and such a chunk must be
 * fetched again, never passed on.
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
	const {size: foundBytes} = await file.stat();
	if (foundBytes > manifest.sizeBytes) {
		await file.truncate(manifest.sizeBytes);
	}

	const readRange = async (index: number): Promise<Uint8Array> => {
		const {startByte, sizeBytes} = chunkRange(manifest, index);
		const buffer = new Uint8Array(sizeBytes);
		const {bytesRead} = await file.read(buffer, 0, sizeBytes, startByte);
		return buffer.subarray(0, bytesRead);
	};

	/** A disk that is nearly full takes a part without an error. */
	const writeWhole = async (data: Uint8Array, startByte: number): Promise<void> => {
		let written = 0;
		while (written < data.length) {
			const {bytesWritten} = await file.write(data, written, data.length - written, startByte + written);
			written += bytesWritten;
		}
	};

	const foundChunks = Math.ceil(Math.min(foundBytes, manifest.sizeBytes) / manifest.chunkSizeBytes);
	for (let index = 0; index < foundChunks; index++) {
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
				await writeWhole(data, chunkRange(manifest, index).startByte);
			} catch (error) {
				// Closed while the chunk was on its way to the disk.
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
		async verifyWhole() {
			const whole = createPacedDigest();
			for (let index = 0; index < manifest.chunkDigests.length; index++) {
				await whole.update(await readRange(index));
			}

			return whole.end() === manifest.wholeDigest;
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
