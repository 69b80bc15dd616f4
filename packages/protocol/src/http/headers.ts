/** Headers between entries and agents; callers see some of them too. */
export const requestIdHeader = 'x-bitternpaddle-request-id';
export const attemptHeader = 'x-bitternpaddle-attempt';
export const revisionHeader = 'x-bitternpaddle-revision';
export const versionHeader = 'x-bitternpaddle-version';
export const fleetHeader = 'x-bitternpaddle-fleet';
export const deadlineHeader = 'x-bitternpaddle-deadline-ms';
export const verdictHeader = 'x-bitternpaddle-verdict';
export const hostHeader = 'x-bitternpaddle-host';
/** Trailer that ends a whole answer: `JSON.stringify(EndMarker)`. */
export const endMarkerTrailer = 'x-bitternpaddle-end';
export const idempotencyKeyHeader = 'idempotency-key';
