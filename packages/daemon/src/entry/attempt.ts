import type {Buffer} from 'node:buffer';
import type {Endpoint} from '@bitternpaddle/coordination';
import type {Issue} from '@bitternpaddle/protocol';
import type {Peers} from '../host/peers.js';

/** One attempt to run a call at an endpoint, through the request gate of its agent. */
export type Attempt = {
	readonly endpoint: Pick<Endpoint, 'address' | 'incarnation' | 'versionId'>;
	/** `formatAdapterTag` of the adapter that must answer. @default null, the base model without an adapter */
	readonly adapterTag?: string | null;
	readonly requestId: string;
	readonly attemptId: string;
	readonly issue: Issue;
	readonly revision: number;
	/** Exchanges configuration revisions with the agent. */
	readonly peers?: Pick<Peers, 'headers' | 'handleResponseHeaders'>;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly idempotencyKey: string | null;
	/** The call may not be repeated, so its run continues when the caller disconnects. */
	readonly isOnce: boolean;
	/** If a connection carries no byte for this long, the attempt is resolved on another connection. */
	readonly suspectMs: number;
	/** Time after which the endpoint may stop processing the request. */
	readonly remainingMs: number;
	/** Aborted, with a `GiveUpCause` as its reason, when the answer is no longer needed. */
	readonly signal: AbortSignal;
};
