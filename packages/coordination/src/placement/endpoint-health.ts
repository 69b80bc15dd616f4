/** What a caller has seen of one endpoint's answers. */
export type EndpointHealth = {
	/** Moving share of failed requests. */
	failureShare: number;
	consecutiveFailures: number;
	/** Not chosen before this time while others are there. */
	restUntilMs: number;
	rests: number;
};

/** Weight of one outcome in the moving share: ten outcomes tell an endpoint that fails two in five from one that fails one in seven. */
const outcomeWeight = 0.1;
/** Failures in a row after which an endpoint rests: some services fail one request in seven by themselves, and then so many in a row are rare. */
const failuresToRest = 4;
/** Above this share of failures, and twice that of the others, an endpoint rests. */
const failureShareToRest = 0.3;
const restMs = 500;
const longestRestMs = 4000;
/** After an attempt that never got a connection: the endpoint is down, or its host is. */
const unreachableRestMs = 250;

export const createEndpointHealth = (): EndpointHealth => ({
	failureShare: 0, consecutiveFailures: 0, restUntilMs: 0, rests: 0,
});

export const noteSuccess = (health: EndpointHealth): void => {
	health.failureShare *= 1 - outcomeWeight;
	health.consecutiveFailures = 0;
	health.rests = 0;
};

/** `usualShare`: failures among all endpoints of the service, which say nothing about this one. */
export const noteFailure = (health: EndpointHealth, usualShare: number, nowMs: number): boolean => {
	health.failureShare += outcomeWeight * (1 - health.failureShare);
	health.consecutiveFailures++;
	const isWorse = health.failureShare > Math.max(failureShareToRest, 2 * usualShare);
	if (health.consecutiveFailures < failuresToRest && !isWorse) {
		return false;
	}

	return rest(health, restMs, nowMs);
};

/** The connection never came about: nothing was sent, and nothing more should be for a moment. */
export const noteNoConnection = (health: EndpointHealth, nowMs: number): boolean => rest(health, unreachableRestMs, nowMs);

const rest = (health: EndpointHealth, baseMs: number, nowMs: number): boolean => {
	if (nowMs < health.restUntilMs) {
		return false;
	}

	health.restUntilMs = nowMs + Math.min(longestRestMs, baseMs * (2 ** health.rests));
	health.rests++;
	health.consecutiveFailures = 0;
	health.failureShare = 0;
	return true;
};

export const isResting = ({restUntilMs}: EndpointHealth, nowMs: number): boolean => nowMs < restUntilMs;
