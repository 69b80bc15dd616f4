/** The origin, or the rate-limited weight store as the second source. */
export type WeightSource = 'origin' | 'store';

/**
 * Until when each source wants to be left alone. It travels with the
 * announcements: what one agent was told by a source binds its neighbours too,
 * or each of them would find the limit out by itself and keep it exceeded.
 */
export type SourceRests = {readonly untilMs: Record<WeightSource, number>; readonly hasStore: boolean};

export type RemainingRests = Record<WeightSource, number>;

const longestRestMs = 60_000;

export const createSourceRests = (hasStore: boolean): SourceRests => ({untilMs: {origin: 0, store: 0}, hasStore});

/** A source answered 429 or could not be reached. */
export const restSource = (rests: SourceRests, source: WeightSource, restMs: number, nowMs: number): void => {
	rests.untilMs[source] = Math.max(rests.untilMs[source], nowMs + Math.min(restMs, longestRestMs));
};

export const remainingRests = ({untilMs}: SourceRests, nowMs: number): RemainingRests => ({
	origin: Math.max(0, Math.ceil(untilMs.origin - nowMs)), store: Math.max(0, Math.ceil(untilMs.store - nowMs)),
});

export const hearRests = (rests: SourceRests, heard: RemainingRests, nowMs: number): void => {
	restSource(rests, 'origin', heard.origin, nowMs);
	restSource(rests, 'store', heard.store, nowMs);
};

export type SourceChoice
	= | {readonly type: 'ask'; readonly source: WeightSource}
		| {readonly type: 'wait'; readonly waitMs: number};

/** The origin while it may be asked, else the store, else a wait. */
export const chooseSource = (rests: SourceRests, nowMs: number): SourceChoice => {
	const remaining = remainingRests(rests, nowMs);
	if (remaining.origin === 0) {
		return {type: 'ask', source: 'origin'};
	}

	if (rests.hasStore && remaining.store === 0) {
		return {type: 'ask', source: 'store'};
	}

	return {type: 'wait', waitMs: rests.hasStore ? Math.min(remaining.origin, remaining.store) : remaining.origin};
};
