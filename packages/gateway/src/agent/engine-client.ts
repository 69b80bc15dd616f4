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
	/** When this start of the engine began, in Unix milliseconds; `null` if it does not tell. */
	readonly startedAtMs: number | null;
	/** Models of which it names a version for all layers; it does not verify them. */
	readonly models: readonly HeldModel[];
	/** When the state was requested, by `performance.now()`. */
	readonly askedAtMs: number;
};

/** `begun`: the order is in progress. `done`: it was already carried out. `refused`: the engine's state does not allow it. `failed`: the engine did not accept it and will not. `unknown`: without an answer; the engine may accept it at any later time. */
export type LoadOrderOutcome = 'begun' | 'done' | 'refused' | 'failed' | 'unknown';

export type LoadMode = 'afterRunning' | 'cutRunning';

export type LoadOrder = {
	readonly model: string;
	readonly version: number;
	/** Either after running requests finish, or at once, which aborts them. */
	readonly mode: LoadMode;
	/** The engine refuses the order if it has accepted another number of orders; `null` for any number. */
	readonly expectedOrderCount: number | null;
};

/** `failed`: the engine did not stage the chunk, or not completely, and will not. `unknown`: without an answer; the engine may stage it at any later time. */
export type WriteOutcome = 'written' | 'failed' | 'unknown';

/** Client for the engine on the agent's host. Queries reject if the engine does not answer; writes and orders wait for an answer for as long as it may still come. */
export type EngineClient = {
	state(): Promise<EngineState>;
	/** The id under which this start of the engine is announced; `null` if it does not tell. Rejects if the engine is too busy to tell. */
	identity(healthPath: string): Promise<string | null>;
	/** Stages a chunk; the engine does not verify it. */
	putChunk(model: string, chunk: number, data: Uint8Array): Promise<WriteOutcome>;
	/** Reads back a staged chunk of `chunkBytes`; `null` if it is not staged. */
	getChunk(model: string, chunk: number, chunkBytes: number): Promise<Buffer | null>;
	/** Loads the weights as they are staged when the engine accepts the order. */
	load(order: LoadOrder): Promise<LoadOrderOutcome>;
};

/** Client for the origin of weights. Every call rejects if the origin does not answer in time. */
export type OriginClient = {
	/** Digests of a version's `chunks` chunks as 64 hexadecimal digits; `null` if the origin does not have that version. */
	digests(address: string, model: string, version: number, chunks: number): Promise<readonly string[] | null>;
	chunk(address: string, options: {readonly model: string; readonly version: number; readonly chunk: number; readonly chunkBytes: number; readonly signal: AbortSignal}): Promise<Buffer>;
};
