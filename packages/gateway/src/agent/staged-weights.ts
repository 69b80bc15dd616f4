import {createHash} from 'node:crypto';
import {
	manifestIdOf, sha256, type Manifest, type ManifestId,
} from '@bitternpaddle/state';
import type {ChunkWriter} from './chunk-writer.js';
import type {EngineClient} from './engine-client.js';

/** The chunks of one version: the verified ones in memory and the copy staged at the engine. */
export type StagedWeights = {
	readonly model: string;
	readonly version: number;
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
	readonly writer: ChunkWriter;
	heldChunks(): readonly number[];
	isComplete(): boolean;
	/** Keeps a chunk if its digest matches, and begins to stage it. */
	put(chunk: number, data: Uint8Array): Promise<boolean>;
	read(chunk: number): Uint8Array | null;
	/** Reads the chunks that the engine has already staged and keeps those whose digests match. */
	readStaged(): Promise<void>;
	/** Reads back all staged chunks; returns those of the version that are missing or do not match. */
	readBack(): Promise<number[]>;
	/** Stages these chunks again, as far as they are held. */
	rewrite(chunks: readonly number[]): Promise<void>;
	/** Replaces digests of missing chunks, and with them the manifest; those of held chunks must stay. */
	replaceDigests(digests: readonly string[]): void;
};

export type StagedWeightsOptions = {
	readonly engine: Pick<EngineClient, 'getChunk'>;
	readonly writer: ChunkWriter;
	readonly model: string;
	readonly version: number;
	readonly chunkBytes: number;
	/** 64 hexadecimal digits each. */
	readonly digests: readonly string[];
	/** Whether the version is the one that is to be staged. @default always */
	isCurrent?(): boolean;
};

/** The origin publishes digests of chunks only; a digest over all of them identifies the version as a whole. */
const manifestOf = ({chunkBytes, model, version}: StagedWeightsOptions, digests: readonly string[]): Manifest => ({
	formatVersion: 1, sizeBytes: digests.length * chunkBytes, chunkSizeBytes: chunkBytes,
	chunkDigests: digests.map(digest => `sha256:${digest}`), wholeDigest: sha256(`${model}@${version}:${digests.join(',')}`),
});

/** Chunks that are read at the same time; one after the other, a read-back takes as many round trips as there are chunks. */
const maxReads = 4;

export const createStagedWeights = (options: StagedWeightsOptions): StagedWeights => {
	const {engine, writer, model, version, chunkBytes, isCurrent = () => true} = options;
	let {digests} = options;
	let manifest = manifestOf(options, digests);
	let manifestId = manifestIdOf(manifest);
	const chunks = new Map<number, Uint8Array>();

	const matchesDigest = (chunk: number, data: Uint8Array): boolean => createHash('sha256').update(data).digest('hex') === digests[chunk];

	const write = async (chunk: number, data: Uint8Array): Promise<void> => writer.write({
		model, version, chunk, data, isWanted: isCurrent,
	});

	/** Calls `onRead` with each of these chunks and what is staged, `null` if it does not match. */
	const readEach = async (wanted: readonly number[], onRead: (chunk: number, data: Uint8Array | null) => void): Promise<void> => {
		const remaining = [...wanted];
		const readNext = async (): Promise<void> => {
			for (let chunk = remaining.shift(); chunk !== undefined; chunk = remaining.shift()) {
				const data = await engine.getChunk(model, chunk, chunkBytes);
				onRead(chunk, data !== null && matchesDigest(chunk, data) ? data : null);
			}
		};

		try {
			await Promise.all(Array.from({length: maxReads}, readNext));
		} finally {
			// After a failed read, the others must not go on beside what is done next.
			remaining.length = 0;
		}
	};

	return {
		model, version, writer,
		get manifest() {
			return manifest;
		},
		get manifestId() {
			return manifestId;
		},
		heldChunks: () => [...chunks.keys()],
		isComplete: () => chunks.size === digests.length,
		async put(chunk, data) {
			if (!matchesDigest(chunk, data)) {
				return false;
			}

			if (!chunks.has(chunk)) {
				chunks.set(chunk, data);
				void write(chunk, data);
			}

			return true;
		},
		read: chunk => chunks.get(chunk) ?? null,
		async readStaged() {
			await readEach([...digests.keys()].filter(chunk => !chunks.has(chunk)), (chunk, data) => {
				if (data !== null) {
					chunks.set(chunk, data);
				}
			});
		},
		async readBack() {
			const mismatches: number[] = [];
			await readEach([...digests.keys()], (chunk, data) => {
				if (data === null) {
					mismatches.push(chunk);
				}
			});
			return mismatches;
		},
		async rewrite(wanted) {
			await Promise.all(wanted.map(async chunk => {
				const data = chunks.get(chunk);
				if (data !== undefined) {
					await write(chunk, data);
				}
			}));
		},
		replaceDigests(replaced) {
			digests = replaced;
			manifest = manifestOf(options, replaced);
			manifestId = manifestIdOf(manifest);
		},
	};
};
