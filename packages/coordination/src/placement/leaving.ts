import type {EngineProfile} from '@bitternpaddle/state';
import {slotHoldMs} from './engine-model.js';

export type MaxAnswerOptions = {
	/** `null` for a plain service. */
	readonly profile: EngineProfile | null;
	/** Maximum number of tokens of the answer; 0 if its caller does not state it. */
	readonly maxTokens: number;
	/** The route's timeout. */
	readonly timeoutMs: number;
};

/** The longest streams have three times the usual number of tokens. */
const maxAnswerRatio = 3;

/** Maximum time from the first token of an answer to its last, with all slots of the engine taken. */
export const maxAnswerMs = ({profile, maxTokens, timeoutMs}: MaxAnswerOptions): number => {
	if (profile === null) {
		return timeoutMs;
	}

	const answerRatio = maxTokens > 0 ? maxTokens / profile.usualAnswerTokens : maxAnswerRatio;
	return Math.min(timeoutMs, answerRatio * slotHoldMs(profile));
};

export type ShutdownOptions = {
	/** Estimated time to the answer, or to its first token. */
	readonly expectedMs: number;
	readonly maxAnswerMs: number;
	/** Time until the answer is due. */
	readonly dueInMs: number;
	/** Time until the process aborts running requests; infinite unless it is shutting down. */
	readonly remainingMs: number;
};

/** The start of a request may take half as long again as estimated. */
const expectationFactor = 1.5;

/** Share of the time until an answer is due that an engine may take, however much it exceeds its estimate. */
const minDueShare = 0.8;

/**
 * Whether an entry that is shutting down may still start a request. Callers keep using
 * their connections, and a stream that waits for its engine would be aborted by the end of
 * the process after it has run. A request is started if it is expected to end before that,
 * and if that leaves it most of the time until its answer is due, because an engine may be
 * slower than estimated. The others have not run, and their callers reach another entry
 * with their next connection.
 */
export const canFinishInTime = ({expectedMs, maxAnswerMs: maxMs, dueInMs, remainingMs}: ShutdownOptions): boolean => (expectedMs * expectationFactor) + maxMs < remainingMs
	&& remainingMs >= dueInMs * minDueShare;
