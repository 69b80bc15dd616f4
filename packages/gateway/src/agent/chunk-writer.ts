import type {Logger} from '@bitternpaddle/transport';
import type {EngineClient} from './engine-client.js';

export type ChunkWriterOptions = {
	readonly engine: Pick<EngineClient, 'putChunk'>;
	readonly logger: Logger;
};

export type ChunkWrite = {
	readonly model: string;
	readonly version: number;
	readonly chunk: number;
	readonly data: Uint8Array;
	/** The write is dropped if this no longer holds when its turn comes. */
	isWanted(): boolean;
};

/** Writes chunks to the engine's staging area, and knows which writes may still be carried out. */
export type ChunkWriter = {
	/** Resolves once the write has an outcome. Writes of the same chunk are carried out in the order of the calls. */
	write(write: ChunkWrite): Promise<void>;
	/** Resolves once no write waits for its turn or for its answer. */
	settled(): Promise<void>;
	/** When the last write was sent or answered, by `performance.now()`; `-Infinity` if there was none. */
	lastWriteAtMs(): number;
	/** Whether a chunk of this version may still be staged by a write that was never answered. */
	hasUnknownWrite(version: number): boolean;
	/** Forgets the writes that a previous start of the engine did not answer; they cannot be carried out any more. */
	forgetUnknownWrites(): void;
};

/** The engine reads and writes its staging area sequentially; a few calls at once hide the time between them. */
const laneCount = 4;

export const createChunkWriter = ({engine, logger}: ChunkWriterOptions): ChunkWriter => {
	const lanes: Array<Promise<void>> = Array.from({length: laneCount}, async () => undefined);
	const unknownVersions = new Set<number>();
	let lastWriteAtMs = Number.NEGATIVE_INFINITY;

	const send = async ({model, version, chunk, data, isWanted}: ChunkWrite): Promise<void> => {
		if (!isWanted()) {
			return;
		}

		lastWriteAtMs = performance.now();
		const outcome = await engine.putChunk(model, chunk, data);
		lastWriteAtMs = performance.now();
		if (outcome === 'unknown') {
			unknownVersions.add(version);
		}

		if (outcome !== 'written') {
			logger.event('BP4039', {version, chunk, outcome});
		}
	};

	return {
		async write(write) {
			const lane = write.chunk % laneCount;
			const sent = lanes[lane]!.then(async () => send(write));
			lanes[lane] = sent;
			await sent;
		},
		async settled() {
			await Promise.all(lanes);
		},
		lastWriteAtMs: () => lastWriteAtMs,
		hasUnknownWrite: version => unknownVersions.has(version),
		forgetUnknownWrites() {
			unknownVersions.clear();
		},
	};
};
