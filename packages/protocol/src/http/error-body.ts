import type {UnansweredVerdict} from '@bitternpaddle/state';
import {match} from 'ts-pattern';

/** Body of an error response to a caller. */
export type ErrorBody = {
	readonly error: {
		readonly type: 'not_run' | 'may_have_run' | 'invalid_request' | 'unauthorized' | 'not_found' | 'conflict' | 'already_ran';
		readonly message: string;
		readonly requestId: string | null;
		readonly retryAfterMs: number | null;
	};
};

export type ErrorResponse = {readonly status: number; readonly headers: Record<string, string>; readonly body: ErrorBody};

const defaultRetryAfterMs = 1000;

/** The error response for a request that gets no answer. */
export const errorResponseOf = (verdict: UnansweredVerdict, requestId: string | null): ErrorResponse => match(verdict)
	.with({type: 'notRun'}, ({reason, isOverLimit = false, retryAfterMs = defaultRetryAfterMs}) => ({
		status: isOverLimit ? 429 : 503,
		headers: {'retry-after': String(Math.ceil(retryAfterMs / 1000))},
		body: {
			error: {
				type: 'not_run' as const, message: reason, requestId, retryAfterMs,
			},
		},
	}))
	.with({type: 'mayHaveRun'}, ({reason}) => ({
		status: 502,
		headers: {},
		body: {
			error: {
				type: 'may_have_run' as const, message: reason, requestId, retryAfterMs: null,
			},
		},
	}))
	.exhaustive();
