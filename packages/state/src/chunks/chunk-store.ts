import {createHash} from 'node:crypto';
import {mkdir, open, rm} from 'node:fs/promises';
import path from 'node:path';
import {chunkRange, sha256, type Manifest} from '../manifest/manifest.js';
import type {ManifestId} from '../types/ids.js';

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

/**
 * Opens or resumes a store. What an earlier process left is verified chunk by
 * chunk: a crash may leave a chunk half written, and such a chunk must be
 * fetched again, never passed on.
 */
export const openChunkStore = async ({folder, manifestId, manifest}: OpenChunkStoreOptions): Promise<ChunkStore> => {
	await mkdir(folder, {recursive: true});
	const filePath = path.join(folder, `${manifestId.slice('sha256:'.length)}.weights`);
	const file = await open(filePath, 'a+').then(async created => {
		await created.close();
		return open(filePath, 'r+');
	});
	const held = new Set<number>();
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

	const foundChunks = Math.ceil(Math.min(foundBytes, manifest.sizeBytes) / manifest.chunkSizeBytes);
	for (let index = 0; index < foundChunks; index++) {
		if (sha256(await readRange(index)) === manifest.chunkDigests[index]) {
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
			if (sha256(data) !== manifest.chunkDigests[index]) {
				return false;
			}

			await file.write(data, 0, data.length, chunkRange(manifest, index).startByte);
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
			const whole = createHash('sha256');
			for (let index = 0; index < manifest.chunkDigests.length; index++) {
				whole.update(await readRange(index));
			}

			return `sha256:${whole.digest('hex')}` === manifest.wholeDigest;
		},
		async close() {
			await file.close();
		},
		async remove() {
			await file.close();
			await rm(filePath, {force: true});
		},
	};
};
