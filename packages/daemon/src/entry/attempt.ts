import type {Buffer} from 'node:buffer';
import type {Endpoint} from '@bitternpaddle/coordination';
import type {Issue} from '@bitternpaddle/protocol';
import type {Peers} from '../host/peers.js';

/** One sending of a call to an endpoint's door. */
export type Attempt = {
	readonly endpoint: Pick<Endpoint, 'address' | 'incarnation' | 'versionId'>;
	/** `formatAdapterTag` of the adapter that must answer. @default null, the base alone */
	readonly adapterTag?: string | null;
	readonly requestId: string;
	readonly attemptId: string;
	readonly issue: Issue;
	readonly revision: number;
	/** What the two ends tell each other about their configuration. */
	readonly peers?: Pick<Peers, 'headers' | 'note'>;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly idempotencyKey: string | null;
	/** The call may not be repeated, so its run goes on when nobody waits. */
	readonly isOnce: boolean;
	/** A connection without a byte for this long is settled on another. */
	readonly suspectMs: number;
	/** When the endpoint may stop working on it. */
	readonly remainingMs: number;
	/** Aborted, with a `GiveUpCause` as its reason, when nobody wants the answer any more. */
	readonly signal: AbortSignal;
};
