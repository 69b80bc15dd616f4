import {createHash} from 'node:crypto';
import type {Manifest} from './manifest.js';

export type CreateManifestOptions = {
	/** @default 4194304 */
	readonly chunkSizeBytes?: number;
	readonly baseManifestId?: Manifest['baseManifestId'];
	/** Called after each chunk with the number of bytes processed so far. */
	readonly onProgress?: (processedBytes: number) => void;
};

export const defaultChunkSizeBytes = 4 * 1024 * 1024;

/** Builds a manifest from a stream of bytes; the stream's parts may have any size. */
export const createManifest = async (source: AsyncIterable<Uint8Array> | Iterable<Uint8Array>, options: CreateManifestOptions = {}): Promise<Manifest> => {
	const {chunkSizeBytes = defaultChunkSizeBytes, baseManifestId, onProgress} = options;
	const streamHash = createHash('sha256');
	const chunkDigests: string[] = [];
	let chunkHash = createHash('sha256');
	let chunkBytes = 0;
	let sizeBytes = 0;
	const closeChunk = () => {
		chunkDigests.push(`sha256:${chunkHash.digest('hex')}`);
		chunkHash = createHash('sha256');
		chunkBytes = 0;
		onProgress?.(sizeBytes);
	};

	for await (const part of source) {
		streamHash.update(part);
		let offset = 0;
		while (offset < part.length) {
			const takenBytes = Math.min(part.length - offset, chunkSizeBytes - chunkBytes);
			chunkHash.update(part.subarray(offset, offset + takenBytes));
			offset += takenBytes;
			chunkBytes += takenBytes;
			sizeBytes += takenBytes;
			if (chunkBytes === chunkSizeBytes) {
				closeChunk();
			}
		}
	}

	if (chunkBytes > 0) {
		closeChunk();
	}

	const wholeDigest = `sha256:${streamHash.digest('hex')}`;
	return {
		formatVersion: 1, sizeBytes, chunkSizeBytes, chunkDigests, wholeDigest, ...(baseManifestId === undefined ? {} : {baseManifestId}),
	};
};
