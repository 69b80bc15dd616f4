import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@bitternpaddle/transport';
import type {EngineClient} from './engine-client.js';

export type ChunkWriterOptions = {
	readonly engine: Pick<EngineClient, 'putChunk'>;
	readonly logger: Logger;
	/** Time for which an engine that answers may still carry out a write whose connection has ended. @default 3000 */
	readonly lostWriteMs?: number;
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
	/** Resolves once the write has an outcome, or has waited too long for one. Writes of the same chunk are sent in the order of the calls. */
	write(write: ChunkWrite): Promise<void>;
	/** Resolves once all writes have been sent, and have an outcome or have waited too long for one. */
	settled(): Promise<void>;
	/** When a chunk of this version was last written at the latest, by `performance.now()`; `-Infinity` if none was. */
	lastWriteAtMs(version: number): number;
	/** Whether a chunk of this version may still be staged by a write without an answer. */
	hasOpenWrite(version: number): boolean;
	/** Records that the engine has run and answered for this long. */
	recordResponsive(forMs: number): void;
	/** Forgets the writes that a previous start of the engine did not answer; they cannot be carried out any more. */
	forgetLostWrites(): void;
};

/** The engine reads and writes its staging area sequentially; a few calls at once hide the time between them. */
const laneCount = 4;
/** A write that takes longer does not delay those of other versions and chunks; longer than most suspensions of a host. */
const maxLaneWaitMs = 10_000;
/** An engine carries out at once what it has read; the rest covers a stalled disk. */
const defaultLostWriteMs = 3000;

/** `open`: writes without an outcome. `lostForMs`: the remaining time of lost writes. */
type VersionWrites = {open: number; lostForMs: number; lastAtMs: number};

const settledWithin = async (promise: Promise<void>, waitMs: number): Promise<void> => {
	const waiting = new AbortController();
	const timeout = delay(waitMs, undefined, {signal: waiting.signal, ref: false}).catch(() => undefined);
	await Promise.race([promise, timeout]);
	waiting.abort();
};

export const createChunkWriter = ({engine, logger, lostWriteMs = defaultLostWriteMs}: ChunkWriterOptions): ChunkWriter => {
	const lanes: Array<Promise<void>> = Array.from({length: laneCount}, async () => undefined);
	const versions = new Map<number, VersionWrites>();

	const writesOf = (version: number): VersionWrites => {
		const known = versions.get(version) ?? {open: 0, lostForMs: 0, lastAtMs: Number.NEGATIVE_INFINITY};
		versions.set(version, known);
		return known;
	};

	const send = async ({model, version, chunk, data}: ChunkWrite): Promise<void> => {
		const writes = writesOf(version);
		writes.open++;
		const outcome = await engine.putChunk(model, chunk, data);
		writes.open--;
		writes.lastAtMs = performance.now();
		if (outcome === 'unknown') {
			writes.lostForMs = lostWriteMs;
		}

		if (outcome !== 'written') {
			logger.event('BP4039', {version, chunk, outcome});
		}
	};

	return {
		async write(write) {
			const lane = write.chunk % laneCount;
			const sent = lanes[lane]!.then(async () => {
				if (write.isWanted()) {
					await settledWithin(send(write), maxLaneWaitMs);
				}
			});
			lanes[lane] = sent;
			await sent;
		},
		async settled() {
			await Promise.all(lanes);
		},
		lastWriteAtMs: version => versions.get(version)?.lastAtMs ?? Number.NEGATIVE_INFINITY,
		hasOpenWrite(version) {
			const writes = versions.get(version);
			return writes !== undefined && (writes.open > 0 || writes.lostForMs > 0);
		},
		recordResponsive(forMs) {
			for (const writes of versions.values()) {
				if (writes.lostForMs > 0) {
					writes.lostForMs -= forMs;
					// It may have been carried out at any time until now.
					writes.lastAtMs = performance.now();
				}
			}
		},
		forgetLostWrites() {
			for (const writes of versions.values()) {
				writes.lostForMs = 0;
			}
		},
	};
};
