/** Headers between entries and agents; some are also sent to callers. */
export const requestIdHeader = 'x-bitternpaddle-request-id';
/** Incarnation of the agent that a request is addressed to. */
export const incarnationHeader = 'x-bitternpaddle-incarnation';
/** Sender and sequence number of the request, see `formatIssue`. */
export const issueHeader = 'x-bitternpaddle-issue';
/** Set on a call that must run at most once. */
export const onceHeader = 'x-bitternpaddle-once';
export const attemptHeader = 'x-bitternpaddle-attempt';
export const revisionHeader = 'x-bitternpaddle-revision';
/** Digest of the configuration at that revision. */
export const configurationDigestHeader = 'x-bitternpaddle-configuration-digest';
export const versionHeader = 'x-bitternpaddle-version';
/** On a request the base and adapter that must produce the answer, on an answer those that did; see `formatAdapterTag`. Missing if no adapter is requested. */
export const adapterHeader = 'x-bitternpaddle-adapter';
export const fleetHeader = 'x-bitternpaddle-fleet';
export const deadlineHeader = 'x-bitternpaddle-deadline-ms';
export const verdictHeader = 'x-bitternpaddle-verdict';
/** Reason for the lack of a complete answer, if the entry acts on it: `fullRefusal` or `endedRefusal`. */
export const refusalHeader = 'x-bitternpaddle-refusal';
/** The agent's request gate has no spare slot. */
export const fullRefusal = 'full';
/** The endpoint's process exited while it held the request. */
export const endpointExitRefusal = 'endpoint-ended';
/** Number of requests running on the host, from all entries. */
export const loadHeader = 'x-bitternpaddle-load';
/** Priority of a caller's request among those of its team: 0 (most urgent) to 3. */
export const priorityHeader = 'x-bitternpaddle-priority';
export const hostHeader = 'x-bitternpaddle-host';
/** Trailer of a complete answer: `JSON.stringify(EndMarker)`. */
export const endMarkerTrailer = 'x-bitternpaddle-end';
export const idempotencyKeyHeader = 'idempotency-key';
