import {createHash} from 'node:crypto';
import {
	manifestIdOf, sha256, type Manifest, type ManifestId,
} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {EngineClient} from './engine-client.js';

/** The chunks of one version: the verified ones in memory and the copy staged at the engine. */
export type StagedWeights = {
	readonly model: string;
	readonly version: number;
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
	heldChunks(): readonly number[];
	isComplete(): boolean;
	/** Keeps and stages a chunk if its digest matches. */
	put(chunk: number, data: Uint8Array): Promise<boolean>;
	read(chunk: number): Uint8Array | null;
	/** Reads the chunks that the engine has already staged and keeps those whose digests match. */
	readStaged(): Promise<void>;
	/** Reads back all staged chunks; returns those that are missing or do not match. */
	readBack(): Promise<number[]>;
	/** Reads back all staged chunks and replaces those that do not match; returns the number replaced. */
	repair(): Promise<number>;
};

export type StagedWeightsOptions = {
	readonly engine: EngineClient;
	readonly model: string;
	readonly version: number;
	readonly chunkBytes: number;
	/** 64 hexadecimal digits each. */
	readonly digests: readonly string[];
	readonly logger: Logger;
};

/** The origin publishes digests of chunks only; a digest over all of them identifies the version as a whole. */
const manifestOf = ({digests, chunkBytes, model, version}: StagedWeightsOptions): Manifest => ({
	formatVersion: 1, sizeBytes: digests.length * chunkBytes, chunkSizeBytes: chunkBytes,
	chunkDigests: digests.map(digest => `sha256:${digest}`), wholeDigest: sha256(`${model}@${version}:${digests.join(',')}`),
});

export const createStagedWeights = (options: StagedWeightsOptions): StagedWeights => {
	const {engine, model, version, chunkBytes, digests, logger} = options;
	const manifest = manifestOf(options);
	const chunks = new Map<number, Uint8Array>();

	const matchesDigest = (chunk: number, data: Uint8Array): boolean => createHash('sha256').update(data).digest('hex') === digests[chunk];

	return {
		model, version, manifest, manifestId: manifestIdOf(manifest),
		heldChunks: () => [...chunks.keys()],
		isComplete: () => chunks.size === digests.length,
		async put(chunk, data) {
			if (!matchesDigest(chunk, data)) {
				return false;
			}

			chunks.set(chunk, data);
			// Staging fails while the engine is down; `repair` stages the chunk before the load order.
			await engine.putChunk(model, chunk, data).catch((error: unknown) => {
				logger.event('BP4039', {version, chunk, reason: (error as Error).message});
			});
			return true;
		},
		read: chunk => chunks.get(chunk) ?? null,
		async readStaged() {
			for (const chunk of digests.keys()) {
				const data = chunks.has(chunk) ? null : await engine.getChunk(model, chunk, chunkBytes);
				if (data !== null && matchesDigest(chunk, data)) {
					chunks.set(chunk, data);
				}
			}
		},
		async readBack() {
			const mismatches: number[] = [];
			for (const chunk of chunks.keys()) {
				const staged = await engine.getChunk(model, chunk, chunkBytes);
				if (staged === null || !matchesDigest(chunk, staged)) {
					mismatches.push(chunk);
				}
			}

			return mismatches;
		},
		async repair() {
			let repaired = 0;
			for (const [chunk, verified] of chunks) {
				const staged = await engine.getChunk(model, chunk, chunkBytes);
				if (staged === null || !matchesDigest(chunk, staged)) {
					repaired++;
					await engine.putChunk(model, chunk, verified);
				}
			}

			return repaired;
		},
	};
};
