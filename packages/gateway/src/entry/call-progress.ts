import type {RetryCharge} from './retry-budget.js';

/** State of a call after the attempts so far. */
export type CallProgress = {
	readonly triedIds: Set<string>;
	/** Number of endpoints that the request was sent to. */
	sent: number;
	/** Number of failed connection attempts. */
	unreachable: number;
	/** Whether the request may have run somewhere. */
	mayHaveRun: boolean;
	/** Allows one further attempt; `null` if none was taken from the retry budget, or it was sent. */
	charge: RetryCharge | null;
	lastEventId: string | null;
	hasEvents: boolean;
	/** Bytes of events that were written to the caller's connection. */
	writtenBytes: number;
	/** Whether the last attempt was ended here while its endpoint may still have worked on it. */
	isEndpointAtWork: boolean;
	/** When the first byte arrived and when it was expected, relative to the arrival of the request. */
	firstByteMs: number | null;
	expectedMs: number | null;
	lastReason: string;
	/** The figures by which it was refused, for its log line. */
	refusedBy: Readonly<Record<string, unknown>>;
};

export const createCallProgress = (): CallProgress => ({
	triedIds: new Set(), sent: 0, unreachable: 0, mayHaveRun: false, charge: null, lastEventId: null, hasEvents: false, writtenBytes: 0, isEndpointAtWork: false, firstByteMs: null, expectedMs: null,
	lastReason: '', refusedBy: {},
});
