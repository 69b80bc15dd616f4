import type {PromptPart} from './prompt-part.js';
import type {RequestFingerprint} from './request-fingerprint.js';

/** The progress of a request: `waiting` before its answer started, `begun` after that but before any part for the caller, `answering` from then on. */
export type AnswerStage = 'waiting' | 'begun' | 'answering';

/** An attempt whose connection was ended by the endpoint's side. */
export type BrokenAttempt = {
	readonly fingerprint: RequestFingerprint;
	readonly address: string;
	readonly atMs: number;
	readonly stage: AnswerStage;
	/** The parts of its prompt that other requests may share. @default none */
	readonly promptParts?: readonly PromptPart[];
	/** Time since its answer began; 0 if it had not. @default 0 */
	readonly answeringMs?: number;
};

/**
 * Recently broken attempts, kept until there is evidence whether the endpoint exited or
 * only the connection ended. Without that evidence, a lost answer, a reset connection or a
 * stream that was aborted for a new version would look like a crash.
 */
export type BrokenAttempts = {
	/** Oldest first. */
	readonly waiting: BrokenAttempt[];
	/** When the last exit of each endpoint was confirmed. */
	readonly exitedAtMs: Map<string, number>;
};

/** Exits are confirmed by the endpoint's own host, by a refused connection, or by the next start. */
const confirmationTimeoutMs = 2000;
/** After this time, an exit does not explain a connection that ends now: another start may be running there. */
const exitFreshMs = 500;
const maxWaiting = 1024;

export const createBrokenAttempts = (): BrokenAttempts => ({waiting: [], exitedAtMs: new Map()});

const pruneExpired = ({waiting, exitedAtMs}: BrokenAttempts, nowMs: number): void => {
	const firstKept = waiting.findIndex(({atMs}) => nowMs - atMs <= confirmationTimeoutMs);
	waiting.splice(0, firstKept === -1 ? waiting.length : Math.max(firstKept, waiting.length - maxWaiting));
	for (const [address, atMs] of exitedAtMs) {
		if (nowMs - atMs > exitFreshMs) {
			exitedAtMs.delete(address);
		}
	}
};

/** Whether the endpoint at the address is known to have exited just now. */
export const hasJustExited = (state: BrokenAttempts, address: string, nowMs: number): boolean => {
	pruneExpired(state, nowMs);
	return state.exitedAtMs.has(address);
};

/** Records a broken attempt; returns `true` if its endpoint is known to have exited. */
export const recordBrokenAttempt = (state: BrokenAttempts, broken: BrokenAttempt): boolean => {
	if (hasJustExited(state, broken.address, broken.atMs)) {
		return true;
	}

	state.waiting.push(broken);
	return false;
};

const takeWaiting = (state: BrokenAttempts, address: string, nowMs: number): BrokenAttempt[] => {
	pruneExpired(state, nowMs);
	const taken = state.waiting.filter(broken => broken.address === address);
	if (taken.length > 0) {
		state.waiting.splice(0, state.waiting.length, ...state.waiting.filter(broken => broken.address !== address));
	}

	return taken;
};

/** Records a confirmed exit of an endpoint; returns the attempts that it broke. */
export const confirmExit = (state: BrokenAttempts, address: string, nowMs: number): BrokenAttempt[] => {
	state.exitedAtMs.set(address, nowMs);
	return takeWaiting(state, address, nowMs);
};

/** Records another start at the address, which means that the previous one exited; returns the attempts that this broke. */
export const confirmRestart = (state: BrokenAttempts, address: string, nowMs: number): BrokenAttempt[] => {
	state.exitedAtMs.delete(address);
	return takeWaiting(state, address, nowMs);
};
