import * as z from 'zod';

/**
 * Whether a request may have run on an endpoint. Retries and the error sent to
 * the caller depend on it, so it is never guessed: without proof of `notRun` the
 * verdict is `mayHaveRun`.
 */
export type Verdict = NotRun | MayHaveRun | Ran;

export type NotRun = {
	readonly type: 'notRun';
	readonly reason: string;
	readonly retryAfterMs?: number;
	/** The team has exhausted its share of the limit. */
	readonly isOverLimit?: boolean;
};
export type MayHaveRun = {
	readonly type: 'mayHaveRun';
	readonly reason: string;
	/** The endpoint's process exited while it held the request. */
	readonly hasEndpointEnded?: boolean;
};
export type Ran = {readonly type: 'ran'};

/** Verdict on a request that gets no answer. */
export type UnansweredVerdict = NotRun | MayHaveRun;

export const verdictTypeSchema = z.enum(['notRun', 'mayHaveRun', 'ran']);
export type VerdictType = Verdict['type'];

export const notRun = (reason: string, retryAfterMs?: number): NotRun => ({type: 'notRun', reason, retryAfterMs});

export const mayHaveRun = (reason: string): MayHaveRun => ({type: 'mayHaveRun', reason});

export const endpointExited = (reason: string): MayHaveRun => ({type: 'mayHaveRun', reason, hasEndpointEnded: true});

export const ran: Ran = {type: 'ran'};
