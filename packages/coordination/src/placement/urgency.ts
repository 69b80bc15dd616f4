export type UrgencyOptions = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly hasComeBack: boolean;
	readonly objectiveMs: number;
	/** Prefill time of its own prompt. */
	readonly promptPrefillMs: number;
	/** Slack of a usual request with the strictest objective: the objective less its prefill time. */
	readonly usualSlackMs: number;
};

/** Levels per priority in an engine's queue, of which 0 goes first. */
const levelsOfPriority = 3;
const lastPriority = 2;
const lastLevel = 9;
/** Two prompts of usual length, or one of four times that length: differences of this size decide whether a queued request is in time. */
const levelMs = 60;

/**
 * The level of a request in an engine's queue. Caller retries are late already and go
 * last. Within one priority, requests with less slack go first: prefill takes a large
 * part of a long prompt's objective, and the remaining time is lost while requests
 * that could wait are ahead of it.
 */
export const urgencyOf = ({priority, hasComeBack, objectiveMs, promptPrefillMs, usualSlackMs}: UrgencyOptions): number => {
	if (hasComeBack) {
		return lastLevel;
	}

	const extraSlackMs = objectiveMs - promptPrefillMs - usualSlackMs;
	const step = Math.max(-1, Math.min(1, Math.round(extraSlackMs / levelMs)));
	return (Math.min(priority, lastPriority) * levelsOfPriority) + 1 + step;
};
