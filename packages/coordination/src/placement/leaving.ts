import type {EngineProfile} from '@bitternpaddle/state';
import {holdingMs} from './engine-model.js';

export type AnswerBoundOptions = {
	/** `null`: a plain service. */
	readonly profile: EngineProfile | null;
	/** The most tokens that the answer may have; 0 if its caller does not tell. */
	readonly mostAnswerTokens: number;
	/** The longest that the route lets a caller wait. */
	readonly timeoutMs: number;
};

/** The longest streams have three times as many tokens as usual ones. */
const longestAnswers = 3;

/** The longest that an answer may take from its first token to its last, where all places of its engine are taken. */
export const answerBoundMs = ({profile, mostAnswerTokens, timeoutMs}: AnswerBoundOptions): number => {
	if (profile === null) {
		return timeoutMs;
	}

	const answers = mostAnswerTokens > 0 ? mostAnswerTokens / profile.usualAnswerTokens : longestAnswers;
	return Math.min(timeoutMs, answers * holdingMs(profile));
};

export type LeavingOptions = {
	/** When the request would be answered, or begin to be. */
	readonly expectedMs: number;
	readonly answerBoundMs: number;
	/** Until the process cuts what still runs; infinite while it does not leave. */
	readonly leftMs: number;
};

/** What is expected of a request's begin may be half as long again. */
const expectationFactor = 1.5;

/**
 * Whether an entry that ends may still begin a request. Callers keep using the
 * connections that they have, and a stream that waits for its engine would be cut
 * by the end of the process, after it has run. What surely ends before is begun;
 * the rest has not run, and its caller finds another entry with its next connection.
 */
export const canEndInTime = ({expectedMs, answerBoundMs: boundMs, leftMs}: LeavingOptions): boolean => (expectedMs * expectationFactor) + boundMs < leftMs;
