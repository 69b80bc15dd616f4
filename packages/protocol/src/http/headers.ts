/** Headers between entries and agents; callers see some of them too. */
export const requestIdHeader = 'x-bitternpaddle-request-id';
/** The incarnation of the agent that a request is meant for. */
export const incarnationHeader = 'x-bitternpaddle-incarnation';
/** Which of one sender's requests this is: `formatIssue`. */
export const issueHeader = 'x-bitternpaddle-issue';
/** Set on a call that may not be repeated. */
export const onceHeader = 'x-bitternpaddle-once';
export const attemptHeader = 'x-bitternpaddle-attempt';
export const revisionHeader = 'x-bitternpaddle-revision';
/** Digest of the configuration at that revision. */
export const configurationDigestHeader = 'x-bitternpaddle-configuration-digest';
export const versionHeader = 'x-bitternpaddle-version';
/** Base and adapter that an answer must come from, or does: `formatAdapterTag`. Missing when no adapter is asked for. */
export const adapterHeader = 'x-bitternpaddle-adapter';
export const fleetHeader = 'x-bitternpaddle-fleet';
export const deadlineHeader = 'x-bitternpaddle-deadline-ms';
export const verdictHeader = 'x-bitternpaddle-verdict';
/** Why there is no whole answer, where the entry acts on it: `fullRefusal` or `endedRefusal`. */
export const refusalHeader = 'x-bitternpaddle-refusal';
/** The door has no room now. */
export const fullRefusal = 'full';
/** The endpoint's process ended while it had the request. */
export const endedRefusal = 'endpoint-ended';
/** Requests that run at the host, of all entries. */
export const loadHeader = 'x-bitternpaddle-load';
/** A caller's own order among its team's requests: 0 (most urgent) to 3. */
export const priorityHeader = 'x-bitternpaddle-priority';
export const hostHeader = 'x-bitternpaddle-host';
/** Trailer that ends a whole answer: `JSON.stringify(EndMarker)`. */
export const endMarkerTrailer = 'x-bitternpaddle-end';
export const idempotencyKeyHeader = 'idempotency-key';
