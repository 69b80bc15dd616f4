import type {RequestFingerprint} from './request-fingerprint.js';

/** How far a request had come: its answer had not begun, had begun without a part for the caller, or was on its way. */
export type AnswerStage = 'waiting' | 'begun' | 'answering';

/** An attempt whose connection the endpoint's side ended. */
export type BrokenAttempt = {readonly fingerprint: RequestFingerprint; readonly address: string; readonly atMs: number; readonly stage: AnswerStage};

/**
 * Attempts that broke lately, until a sign tells whether their endpoint ended or
 * only their connection did. Without that sign a lost answer, a reset connection
 * or a stream that is cut for a new version would look like a crash.
 */
export type BrokenAttempts = {
	/** Oldest first. */
	readonly waiting: BrokenAttempt[];
	/** When each endpoint last was seen to have ended. */
	readonly endedAtMs: Map<string, number>;
};

/** Signs come from the endpoint's own host, from a refused connection, or with the next start. */
const confirmWithinMs = 2000;
/** A sign that is older says nothing of a connection that ends now: another start may run there. */
const signFreshMs = 500;
const mostWaiting = 1024;

export const createBrokenAttempts = (): BrokenAttempts => ({waiting: [], endedAtMs: new Map()});

const forgetOld = ({waiting, endedAtMs}: BrokenAttempts, nowMs: number): void => {
	const firstKept = waiting.findIndex(({atMs}) => nowMs - atMs <= confirmWithinMs);
	waiting.splice(0, firstKept === -1 ? waiting.length : Math.max(firstKept, waiting.length - mostWaiting));
	for (const [address, atMs] of endedAtMs) {
		if (nowMs - atMs > signFreshMs) {
			endedAtMs.delete(address);
		}
	}
};

/** Notes a broken attempt; `true` if its endpoint is known to have ended. */
export const noteBroken = (state: BrokenAttempts, broken: BrokenAttempt): boolean => {
	forgetOld(state, broken.atMs);
	if (state.endedAtMs.has(broken.address)) {
		return true;
	}

	state.waiting.push(broken);
	return false;
};

const takeWaiting = (state: BrokenAttempts, address: string, nowMs: number): BrokenAttempt[] => {
	forgetOld(state, nowMs);
	const taken = state.waiting.filter(broken => broken.address === address);
	if (taken.length > 0) {
		state.waiting.splice(0, state.waiting.length, ...state.waiting.filter(broken => broken.address !== address));
	}

	return taken;
};

/** An endpoint was seen to have ended; returns the attempts that it took along. */
export const confirmEnded = (state: BrokenAttempts, address: string, nowMs: number): BrokenAttempt[] => {
	state.endedAtMs.set(address, nowMs);
	return takeWaiting(state, address, nowMs);
};

/** Another start runs at the address: the one before has ended. Returns the attempts that it took along. */
export const confirmRestarted = (state: BrokenAttempts, address: string, nowMs: number): BrokenAttempt[] => {
	state.endedAtMs.delete(address);
	return takeWaiting(state, address, nowMs);
};
