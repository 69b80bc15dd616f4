import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {RouteTarget} from '@bitternpaddle/coordination';
import type {ErrorBody} from '@bitternpaddle/protocol';

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
	/** Aborted once the caller's connection closes. */
	readonly abort: AbortController;
	/** On the clock of `performance.now()`. */
	readonly deadlineAtMs: number;
};

/** A request that is wrong in itself, so that no endpoint need be asked. */
export type Refusal = {readonly status: number; readonly type: ErrorBody['error']['type']; readonly message: string};

export class RefusedError extends Error {
	override readonly name = 'RefusedError';

	constructor(readonly refusal: Refusal) {
		super(refusal.message);
	}
}

export const nameOf = (target: RouteTarget): string => target.type === 'model' ? `model ${target.modelId}` : `service ${target.serviceId}`;
