/** The origin, or the rate-limited weight store as a second source. */
export type WeightSource = 'origin' | 'store';

export type RemainingBackoffs = Record<WeightSource, number>;

/** Backoffs of the sources, from which nothing is fetched until they expire. */
export type SourceBackoffs = {
	readonly hasStore: boolean;
	/**
	 * Rate limits reported by the sources. They are sent with the announcements,
	 * so that neighbours of the limited agent respect them too; otherwise each of
	 * them would discover the limit itself and so keep exceeding it.
	 */
	readonly limitedUntilMs: RemainingBackoffs;
	/** Sources that this host cannot reach; other hosts may be able to. */
	readonly unreachableUntilMs: RemainingBackoffs;
	/** Consecutive failures. */
	readonly failures: RemainingBackoffs;
};

const maxLimitMs = 60_000;
const unreachableBackoffMs = 500;
const maxBackoffMs = 8000;
/** Without a second source, the origin is retried soon because there is no alternative. */
const onlySourceBackoffMs = 300;

export const createSourceBackoffs = (hasStore: boolean): SourceBackoffs => ({
	hasStore, limitedUntilMs: {origin: 0, store: 0}, unreachableUntilMs: {origin: 0, store: 0}, failures: {origin: 0, store: 0},
});

/** Records that a source responded with status 429. */
export const recordRateLimit = (backoffs: SourceBackoffs, source: WeightSource, backoffMs: number, nowMs: number): void => {
	backoffs.limitedUntilMs[source] = Math.max(backoffs.limitedUntilMs[source], nowMs + Math.min(backoffMs, maxLimitMs));
};

export const recordUnreachable = (backoffs: SourceBackoffs, source: WeightSource, nowMs: number): void => {
	const backoffMs = backoffs.hasStore ? Math.min(maxBackoffMs, unreachableBackoffMs * (2 ** backoffs.failures[source])) : onlySourceBackoffMs;
	backoffs.failures[source]++;
	backoffs.unreachableUntilMs[source] = nowMs + backoffMs;
};

export const recordReached = ({failures}: SourceBackoffs, source: WeightSource): void => {
	failures[source] = 0;
};

/** Remaining limits to announce to the neighbours. */
export const remainingLimits = ({limitedUntilMs}: SourceBackoffs, nowMs: number): RemainingBackoffs => ({
	origin: Math.max(0, Math.ceil(limitedUntilMs.origin - nowMs)), store: Math.max(0, Math.ceil(limitedUntilMs.store - nowMs)),
});

export const recordReceivedLimits = (backoffs: SourceBackoffs, received: RemainingBackoffs, nowMs: number): void => {
	recordRateLimit(backoffs, 'origin', received.origin, nowMs);
	recordRateLimit(backoffs, 'store', received.store, nowMs);
};

export type SourceChoice
	= | {readonly type: 'ask'; readonly source: WeightSource}
		| {readonly type: 'wait'; readonly waitMs: number};

/** Chooses the origin if it has no backoff, otherwise the store, otherwise a wait. */
export const chooseSource = (backoffs: SourceBackoffs, nowMs: number): SourceChoice => {
	const waitFor = (source: WeightSource): number => Math.max(0, backoffs.limitedUntilMs[source] - nowMs, backoffs.unreachableUntilMs[source] - nowMs);
	if (waitFor('origin') === 0) {
		return {type: 'ask', source: 'origin'};
	}

	if (backoffs.hasStore && waitFor('store') === 0) {
		return {type: 'ask', source: 'store'};
	}

	return {type: 'wait', waitMs: backoffs.hasStore ? Math.min(waitFor('origin'), waitFor('store')) : waitFor('origin')};
};
