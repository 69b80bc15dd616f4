import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {RequestFingerprint, RequestOutline} from '@bitternpaddle/coordination';
import type {Route, Service, Team} from '@bitternpaddle/state';

/** One request of a caller, from its head to its last byte. */
export type Call = {
	readonly requestId: string;
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly route: Route;
	readonly service: Service;
	readonly team: Team | null;
	readonly body: Buffer | null;
	readonly promptTokens: number;
	/** The most tokens that the answer may have; 0 if the caller does not tell. */
	readonly mostAnswerTokens: number;
	readonly receivedAtMs: number;
	/** The final answer is due, by the caller's deadline or the route's timeout. */
	readonly deadlineAtMs: number;
	/** The caller surely was sent away before; it has no further try, and is late already. */
	readonly hasComeBack: boolean;
	/** The caller left, or the deadline passed. */
	readonly ended: AbortController;
	/** Key needed: the lease must be held when the request is sent on. */
	readonly isKeyed: boolean;
	/** What can be told of the fingerprint without the body's content. */
	outline(): RequestOutline;
	/** Hashed when it is first asked for. */
	fingerprint(): RequestFingerprint;
	/** Whether the newest configuration that is known here still gives its key to its team; `true` without a key. */
	isKeyInForce(): boolean;
};

/** Whether a request may run more than once. */
export const isIdempotent = ({route: {retryClass, isResumable}}: Call): boolean => retryClass === 'safe' || (retryClass === 'streaming' && isResumable);
