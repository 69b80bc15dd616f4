import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {PromptPart, RouteTarget} from '@bitternpaddle/coordination';
import type {ErrorBody} from '@bitternpaddle/protocol';
import type {RequestTrace} from './request-log.js';

/** One caller's request while the entry processes it. */
export type Call = {
	readonly requestId: string;
	readonly teamId: string;
	readonly target: RouteTarget;
	readonly path: string;
	readonly method: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly idempotencyKey: string | null;
	readonly isStream: boolean;
	readonly response: http.ServerResponse;
	/** Aborted, with a `GiveUpCause` as its reason, once the answer is no longer needed. */
	readonly abort: AbortController;
	/** Time by which the answer must have begun, on the clock of `performance.now()`. */
	readonly deadlineAtMs: number;
	/** Time by which the answer must have ended; equal to `deadlineAtMs` if the caller gave a deadline. */
	readonly endAtMs: number;
	/** The service declares that its calls may not be repeated. */
	readonly isOnce: boolean;
	/** Expected tokens, in units of decoded tokens: the prompt is discounted; 1 for a plain service. */
	readonly cost: number;
	/** 0 to 3; 0 is the most urgent. */
	readonly priority: number;
	/** Beginning of a long prompt, used to route requests with the same prefix to the same endpoint; `null` for other requests. */
	readonly prefixKey: string | null;
	/** The messages that other requests may share; computed on the first call. */
	promptParts(): readonly PromptPart[];
	readonly trace: RequestTrace;
};

/** The response to an invalid request, which is sent to no endpoint. */
export type Refusal = {readonly status: number; readonly type: ErrorBody['error']['type']; readonly message: string};

export class RefusedError extends Error {
	override readonly name = 'RefusedError';

	constructor(readonly refusal: Refusal) {
		super(refusal.message);
	}
}
