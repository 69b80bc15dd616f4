/**
 * The retry budget of a service: in any window, all entries together may make `share`
 * further attempts for each request, and `reserve` besides.
 */
export type RetryTerms = {
	readonly share: number;
	readonly reserve: number;
	readonly windowMs: number;
};

/**
 * The part of `share` that an entry spends without a grant. Each request earns its entry
 * a fraction of an attempt, which expires soon: what all entries spend in a window was
 * earned in little more than that window, however many of them start, end or are cut off.
 */
const ownPart = 0.5;
const ownLifePart = 0.15;
/** The part of `share` that core hosts grant, beside the whole reserve. */
const pooledPart = 0.3;

/** How long a further attempt that was taken from the budget may wait until it is sent. */
export const chargeLifeMs = 500;
/** The most time between a grant and the arrival of the attempt at an endpoint: the grant's own way, the wait, the connection and the way of the request. */
export const grantDelayMs = 1500;

/** What an entry earns with each request, and for how long. */
export const ownTerms = ({share, windowMs}: Pick<RetryTerms, 'share' | 'windowMs'>): {readonly perRequest: number; readonly lifeMs: number} => ({
	perRequest: share * ownPart, lifeMs: windowMs * ownLifePart,
});

/** What core hosts grant in a window. */
export const pooledTerms = ({share, ...rest}: RetryTerms): RetryTerms => ({...rest, share: share * pooledPart});
