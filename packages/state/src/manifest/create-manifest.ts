import {createHash} from 'node:crypto';
import type {Manifest} from './manifest.js';

export type CreateManifestOptions = {
	/** @default 4194304 */
	readonly chunkSizeBytes?: number;
	readonly baseManifestId?: Manifest['baseManifestId'];
	/** Called after each chunk with the bytes done. */
	readonly onProgress?: (doneBytes: number) => void;
};

export const defaultChunkSizeBytes = 4 * 1024 * 1024;

/** Builds a manifest from a stream of bytes, whatever sizes it arrives in. */
export const createManifest = async (source: AsyncIterable<Uint8Array> | Iterable<Uint8Array>, options: CreateManifestOptions = {}): Promise<Manifest> => {
	const {chunkSizeBytes = defaultChunkSizeBytes, baseManifestId, onProgress} = options;
	const whole = createHash('sha256');
	const chunkDigests: string[] = [];
	let chunk = createHash('sha256');
	let chunkBytes = 0;
	let sizeBytes = 0;
	const closeChunk = () => {
		chunkDigests.push(`sha256:${chunk.digest('hex')}`);
		chunk = createHash('sha256');
		chunkBytes = 0;
		onProgress?.(sizeBytes);
	};

	for await (const part of source) {
		whole.update(part);
		let offset = 0;
		while (offset < part.length) {
			const take = Math.min(part.length - offset, chunkSizeBytes - chunkBytes);
			chunk.update(part.subarray(offset, offset + take));
			offset += take;
			chunkBytes += take;
			sizeBytes += take;
			if (chunkBytes === chunkSizeBytes) {
				closeChunk();
			}
		}
	}

	if (chunkBytes > 0) {
		closeChunk();
	}

	const wholeDigest = `sha256:${whole.digest('hex')}`;
	return {
		formatVersion: 1, sizeBytes, chunkSizeBytes, chunkDigests, wholeDigest, ...(baseManifestId === undefined ? {} : {baseManifestId}),
	};
};
