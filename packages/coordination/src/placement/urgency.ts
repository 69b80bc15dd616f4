export type UrgencyOptions = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly hasComeBack: boolean;
	readonly objectiveMs: number;
	/** How long its own prompt is read. */
	readonly ownReadMs: number;
	/** What a usual request of the strictest kind has to spare: its objective less its prompt. */
	readonly usualSlackMs: number;
};

/** Levels of an engine's queue, of which 0 goes first. */
const levelsOfPriority = 3;
const lastPriority = 2;
const lastLevel = 9;
/** Two prompts of usual length, or one of four times that: what decides whether a wait in a queue is in time. */
const levelMs = 60;

/**
 * The place of a request in an engine's queue. Callers that came back are late and
 * go last. Of one priority, those with less time to spare go first: a long prompt is
 * read for a good part of its objective, and what is left of its time is gone while
 * others that could wait are before it.
 */
export const urgencyOf = ({priority, hasComeBack, objectiveMs, ownReadMs, usualSlackMs}: UrgencyOptions): number => {
	if (hasComeBack) {
		return lastLevel;
	}

	const moreMs = objectiveMs - ownReadMs - usualSlackMs;
	const step = Math.max(-1, Math.min(1, Math.round(moreMs / levelMs)));
	return (Math.min(priority, lastPriority) * levelsOfPriority) + 1 + step;
};
