/** The origin, or the rate-limited weight store as the second source. */
export type WeightSource = 'origin' | 'store';

export type RemainingRests = Record<WeightSource, number>;

/** Until when each source is left alone. */
export type SourceRests = {
	readonly hasStore: boolean;
	/**
	 * Limits that a source has set. They travel with the announcements: what
	 * one agent was told binds its neighbours too, or each of them would find
	 * the limit out by itself and so keep it exceeded.
	 */
	readonly limitedUntilMs: RemainingRests;
	/** Sources that this host cannot reach; the others may well reach them. */
	readonly unreachableUntilMs: RemainingRests;
	/** Failures in a row. */
	readonly failures: RemainingRests;
};

const longestLimitMs = 60_000;
const unreachableRestMs = 500;
const longestRestMs = 8000;
/** Without a second source the origin is asked again soon: there is nothing else. */
const onlySourceRestMs = 300;

export const createSourceRests = (hasStore: boolean): SourceRests => ({
	hasStore, limitedUntilMs: {origin: 0, store: 0}, unreachableUntilMs: {origin: 0, store: 0}, failures: {origin: 0, store: 0},
});

/** A source answered 429. */
export const noteLimited = (rests: SourceRests, source: WeightSource, restMs: number, nowMs: number): void => {
	rests.limitedUntilMs[source] = Math.max(rests.limitedUntilMs[source], nowMs + Math.min(restMs, longestLimitMs));
};

export const noteUnreachable = (rests: SourceRests, source: WeightSource, nowMs: number): void => {
	const restMs = rests.hasStore ? Math.min(longestRestMs, unreachableRestMs * (2 ** rests.failures[source])) : onlySourceRestMs;
	rests.failures[source]++;
	rests.unreachableUntilMs[source] = nowMs + restMs;
};

export const noteReached = ({failures}: SourceRests, source: WeightSource): void => {
	failures[source] = 0;
};

/** What is told to the neighbours. */
export const remainingLimits = ({limitedUntilMs}: SourceRests, nowMs: number): RemainingRests => ({
	origin: Math.max(0, Math.ceil(limitedUntilMs.origin - nowMs)), store: Math.max(0, Math.ceil(limitedUntilMs.store - nowMs)),
});

export const hearLimits = (rests: SourceRests, heard: RemainingRests, nowMs: number): void => {
	noteLimited(rests, 'origin', heard.origin, nowMs);
	noteLimited(rests, 'store', heard.store, nowMs);
};

export type SourceChoice
	= | {readonly type: 'ask'; readonly source: WeightSource}
		| {readonly type: 'wait'; readonly waitMs: number};

/** The origin while it may be asked, else the store, else a wait. */
export const chooseSource = (rests: SourceRests, nowMs: number): SourceChoice => {
	const waitFor = (source: WeightSource): number => Math.max(0, rests.limitedUntilMs[source] - nowMs, rests.unreachableUntilMs[source] - nowMs);
	if (waitFor('origin') === 0) {
		return {type: 'ask', source: 'origin'};
	}

	if (rests.hasStore && waitFor('store') === 0) {
		return {type: 'ask', source: 'store'};
	}

	return {type: 'wait', waitMs: rests.hasStore ? Math.min(waitFor('origin'), waitFor('store')) : waitFor('origin')};
};
