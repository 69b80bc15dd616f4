import type {Buffer} from 'node:buffer';
import type {HeldModel} from '@bitternpaddle/coordination';

/** What an engine says of itself. */
export type EngineState = {
	readonly running: number;
	readonly queued: number;
	readonly pace: number;
	/** An order is being carried out. */
	readonly isBusy: boolean;
	/** Models whose weights it holds whole. */
	readonly models: readonly HeldModel[];
};

/** `begun`: the order is being carried out. `done`: it already was. `refused`: it does not fit the engine's state. */
export type LoadOrderOutcome = 'begun' | 'done' | 'refused';

export type LoadMode = 'afterRunning' | 'cutRunning';

/** The engine beside an agent. Every call rejects if the engine does not answer. */
export type EngineClient = {
	state(): Promise<EngineState>;
	/** Stages a chunk; the engine does not check it. */
	putChunk(model: string, chunk: number, data: Uint8Array): Promise<void>;
	/** A staged chunk; `null` if none is there. */
	getChunk(model: string, chunk: number): Promise<Buffer | null>;
	/** Loads what is staged: once what runs is done, or at once, and what runs is cut. */
	load(model: string, version: number, mode: LoadMode): Promise<LoadOrderOutcome>;
};

/** The origin of weights. Every call rejects if it does not answer in time. */
export type OriginClient = {
	/** Digests of a version's chunks as 64 hexadecimal digits; `null` if the origin does not have that version. */
	digests(address: string, model: string, version: number): Promise<readonly string[] | null>;
	chunk(address: string, options: {readonly model: string; readonly version: number; readonly chunk: number; readonly signal: AbortSignal}): Promise<Buffer>;
};
