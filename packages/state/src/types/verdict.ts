import * as z from 'zod';

/**
 * Says whether a request may have run on an endpoint. Retries and the text
 * that a caller is told both follow from it, so it is never guessed: whoever
 * cannot prove `notRun` says `mayHaveRun`.
 */
export type Verdict = NotRun | MayHaveRun | Ran;

export type NotRun = {
	readonly type: 'notRun';
	readonly reason: string;
	readonly retryAfterMs?: number;
	/** The team has used up its share of the limit. */
	readonly isOverLimit?: boolean;
};
export type MayHaveRun = {
	readonly type: 'mayHaveRun';
	readonly reason: string;
	/** The endpoint's process ended while it had the request. */
	readonly hasEndpointEnded?: boolean;
};
export type Ran = {readonly type: 'ran'};

/** What a caller can be told who gets no answer. */
export type UnansweredVerdict = NotRun | MayHaveRun;

export const verdictTypeSchema = z.enum(['notRun', 'mayHaveRun', 'ran']);
export type VerdictType = Verdict['type'];

export const notRun = (reason: string, retryAfterMs?: number): NotRun => ({type: 'notRun', reason, retryAfterMs});

export const mayHaveRun = (reason: string): MayHaveRun => ({type: 'mayHaveRun', reason});

export const endedUnder = (reason: string): MayHaveRun => ({type: 'mayHaveRun', reason, hasEndpointEnded: true});

export const ran: Ran = {type: 'ran'};
