/** State of a request that is running on the endpoint; times are on the agent's monotonic clock. */
export type RunStatus = {
	/** A non-repeatable run is not terminated when no caller is waiting, because its outcome is requested later. */
	readonly isRepeatable: boolean;
	/** When the endpoint last sent a byte; the start of the run before the first byte. */
	readonly lastByteAtMs: number;
	/** The agent has paused reading from the endpoint because the entry reads slowly. */
	readonly isHeldBack: boolean;
	readonly deadlineAtMs: number;
	/** When the last entry stopped reading the answer; `null` while one is reading. */
	readonly unattendedSinceMs: number | null;
};

export type RunLimits = {
	/** An endpoint that sends no byte for this long is considered stuck. */
	readonly endpointIdleMs: number;
	/** How long an answer is produced while no entry reads it, so that an entry can reconnect. */
	readonly unattendedMs: number;
};

export type TerminationCause = 'endpointSilent' | 'deadline' | 'unattended';

/**
 * Why a run must be terminated now, or `null`. Every run is bounded: otherwise one
 * request stuck at an unresponsive engine would hold its slot forever, and a
 * version switch, which waits for all runs, would never happen.
 */
export const terminationCause = (run: RunStatus, {endpointIdleMs, unattendedMs}: RunLimits, nowMs: number): TerminationCause | null => {
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
