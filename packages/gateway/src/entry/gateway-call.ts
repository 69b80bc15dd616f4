import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {
	PromptPart, RegionLists, RequestFingerprint, RequestOutline,
} from '@bitternpaddle/coordination';
import type {Route, Service, Team} from '@bitternpaddle/state';

/** Why a request was cancelled. `shutdown`: the grace period of the entry ended first. */
export type CancelCause = 'callerDisconnected' | 'deadline' | 'quarantined' | 'shutdown';

/** A request of a caller until its answer is complete. */
export type Call = {
	readonly requestId: string;
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly route: Route;
	readonly service: Service;
	readonly team: Team | null;
	readonly body: Buffer | null;
	readonly promptTokens: number;
	/** The largest number of tokens that the answer may have; 0 if the caller does not state it. */
	readonly answerTokenLimit: number;
	readonly receivedAtMs: number;
	/** When the final answer is due, by the caller's deadline or the route's timeout, whichever is earlier. */
	readonly deadlineAtMs: number;
	/** Whether this is a confirmed caller retry: it has no further retry and is already late. */
	readonly hasComeBack: boolean;
	/** Aborted with a `CancelCause` as its reason. */
	readonly cancellation: AbortController;
	/** Whether the route requires a key; the lease must then be held when the request is forwarded. */
	readonly requiresKey: boolean;
	/** The part of the fingerprint that does not depend on the content of the body. */
	outline(): RequestOutline;
	/** Hashes the body on the first call. */
	fingerprint(): RequestFingerprint;
	/** The parts of its prompt that other requests may share. */
	promptParts(): readonly PromptPart[];
	/** Whether the newest configuration known here still assigns the request's key to its team; `true` without a key. */
	isKeyInForce(): boolean;
	/** The regions that the newest configuration known here allows for the request. */
	regionLists(): RegionLists;
};

/** Why a request was cancelled; `null` if it was not. */
export const cancelCauseOf = ({cancellation: {signal}}: Call): CancelCause | null => signal.aborted ? signal.reason as CancelCause : null;

/** Whether a request may run more than once. */
export const isIdempotent = ({route: {retryClass, isResumable}}: Call): boolean => retryClass === 'safe' || (retryClass === 'streaming' && isResumable);
