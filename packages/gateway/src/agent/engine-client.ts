import type {Buffer} from 'node:buffer';
import type {HeldModel} from '@bitternpaddle/coordination';

/** State that an engine reports. */
export type EngineState = {
	readonly running: number;
	readonly queued: number;
	readonly pace: number;
	/** A load order is in progress. */
	readonly isBusy: boolean;
	/** Number of orders that this start of the engine has accepted. */
	readonly orderCount: number;
	/** Models whose weights it holds completely. */
	readonly models: readonly HeldModel[];
};

/** `begun`: the order is in progress. `done`: it was already carried out. `refused`: the engine's state does not allow it. */
export type LoadOrderOutcome = 'begun' | 'done' | 'refused';

export type LoadMode = 'afterRunning' | 'cutRunning';

/** Client for the engine on the agent's host. Every call rejects if the engine does not answer. */
export type EngineClient = {
	state(): Promise<EngineState>;
	/** Stages a chunk; the engine does not verify it. */
	putChunk(model: string, chunk: number, data: Uint8Array): Promise<void>;
	/** Reads back a staged chunk of `chunkBytes`; `null` if it is not staged. */
	getChunk(model: string, chunk: number, chunkBytes: number): Promise<Buffer | null>;
	/** Loads the staged weights, either after running requests finish or at once, which aborts them. */
	load(model: string, version: number, mode: LoadMode): Promise<LoadOrderOutcome>;
};

/** Client for the origin of weights. Every call rejects if the origin does not answer in time. */
export type OriginClient = {
	/** Digests of a version's `chunks` chunks as 64 hexadecimal digits; `null` if the origin does not have that version. */
	digests(address: string, model: string, version: number, chunks: number): Promise<readonly string[] | null>;
	chunk(address: string, options: {readonly model: string; readonly version: number; readonly chunk: number; readonly chunkBytes: number; readonly signal: AbortSignal}): Promise<Buffer>;
};
