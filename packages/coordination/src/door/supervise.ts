/** What is known of a request that runs on the endpoint; times are on the agent's monotonic clock. */
export type RunView = {
	/** A run that may not be repeated is never ended because nobody waits: its outcome is asked for later. */
	readonly isRepeatable: boolean;
	/** When the endpoint last gave a byte; the start before the first. */
	readonly lastByteAtMs: number;
	/** The agent does not read from the endpoint, because the entry is slow. */
	readonly isHeldBack: boolean;
	readonly deadlineAtMs: number;
	/** Since when no entry reads the answer; `null` while one does. */
	readonly unattendedSinceMs: number | null;
};

export type RunLimits = {
	/** Without a byte for this long the endpoint is taken for stuck. */
	readonly endpointIdleMs: number;
	/** How long an answer is produced while no entry reads it, for one that comes back. */
	readonly unattendedMs: number;
};

export type EndCause = 'endpointSilent' | 'deadline' | 'unattended';

/**
 * Why a run is to be ended now, or `null`. Every run has an end: without that,
 * one request stuck at a silent engine would hold its slot for ever, and a
 * switch of versions, which waits for all runs, would never come about.
 */
export const causeToEnd = (run: RunView, {endpointIdleMs, unattendedMs}: RunLimits, nowMs: number): EndCause | null => {
	if (!run.isHeldBack && nowMs - run.lastByteAtMs >= endpointIdleMs) {
		return 'endpointSilent';
	}

	if (!run.isRepeatable) {
		return null;
	}

	if (nowMs >= run.deadlineAtMs) {
		return 'deadline';
	}

	return run.unattendedSinceMs !== null && nowMs - run.unattendedSinceMs >= unattendedMs ? 'unattended' : null;
};
