/** The health of one endpoint, from the outcomes of an entry's own requests. */
export type EndpointHealth = {
	/** Moving average of the share of failed requests. */
	failureShare: number;
	consecutiveFailures: number;
	/** Until this time, the endpoint is chosen only if no other is available. */
	backoffUntilMs: number;
	backoffCount: number;
};

/** Weight of one outcome in the moving average: ten outcomes distinguish an endpoint that fails two requests in five from one that fails one in seven. */
const outcomeWeight = 0.1;
/** Consecutive failures before an endpoint is put into backoff: some services normally fail one request in seven, and this many failures in a row are rare for them. */
const failuresToBackOff = 4;
/** An endpoint is put into backoff if its share of failures exceeds this and twice that of the service's endpoints overall. */
const failureShareToBackOff = 0.3;
const backoffMs = 500;
const maxBackoffMs = 4000;
/** Backoff after a failed connection: the endpoint or its host is down. */
const unreachableBackoffMs = 250;

export const createEndpointHealth = (): EndpointHealth => ({
	failureShare: 0, consecutiveFailures: 0, backoffUntilMs: 0, backoffCount: 0,
});

export const recordSuccess = (health: EndpointHealth): void => {
	health.failureShare *= 1 - outcomeWeight;
	health.consecutiveFailures = 0;
	health.backoffCount = 0;
};

/** `usualShare` is the share of failures over all endpoints of the service, which indicates no fault of this one. Returns `true` if a backoff begins. */
export const recordFailure = (health: EndpointHealth, usualShare: number, nowMs: number): boolean => {
	health.failureShare += outcomeWeight * (1 - health.failureShare);
	health.consecutiveFailures++;
	const isWorse = health.failureShare > Math.max(failureShareToBackOff, 2 * usualShare);
	if (health.consecutiveFailures < failuresToBackOff && !isWorse) {
		return false;
	}

	return backOff(health, backoffMs, nowMs);
};

/** No connection was established, so nothing was sent; the endpoint is put into a short backoff. Returns `true` if one begins. */
export const recordConnectionFailure = (health: EndpointHealth, nowMs: number): boolean => backOff(health, unreachableBackoffMs, nowMs);

const backOff = (health: EndpointHealth, baseMs: number, nowMs: number): boolean => {
	if (nowMs < health.backoffUntilMs) {
		return false;
	}

	health.backoffUntilMs = nowMs + Math.min(maxBackoffMs, baseMs * (2 ** health.backoffCount));
	health.backoffCount++;
	health.consecutiveFailures = 0;
	health.failureShare = 0;
	return true;
};

export const isBackingOff = ({backoffUntilMs}: EndpointHealth, nowMs: number): boolean => nowMs < backoffUntilMs;
