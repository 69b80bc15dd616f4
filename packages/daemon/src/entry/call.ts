import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {RouteTarget} from '@bitternpaddle/coordination';
import type {ErrorBody} from '@bitternpaddle/protocol';
import type {RequestTrace} from './request-log.js';

/** One caller's request as it passes through the entry. */
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
	/** Aborted, with a `GiveUpCause` as its reason, once nobody wants the answer any more. */
	readonly abort: AbortController;
	/** When the answer must have begun, on the clock of `performance.now()`. */
	readonly deadlineAtMs: number;
	/** When the answer must have ended; the same as `deadlineAtMs` if the caller gave a deadline. */
	readonly endAtMs: number;
	/** The service declares that its calls may not be repeated. */
	readonly isOnce: boolean;
	/** Expected tokens of prompt and answer; 1 for a plain service. */
	readonly cost: number;
	/** 0 to 3; 0 is the most urgent. */
	readonly priority: number;
	/** Start of a long prompt, so that requests that share it go to the same endpoint; `null` for others. */
	readonly prefixKey: string | null;
	readonly trace: RequestTrace;
};

/** A request that is wrong in itself, so that no endpoint need be asked. */
export type Refusal = {readonly status: number; readonly type: ErrorBody['error']['type']; readonly message: string};

export class RefusedError extends Error {
	override readonly name = 'RefusedError';

	constructor(readonly refusal: Refusal) {
		super(refusal.message);
	}
}
