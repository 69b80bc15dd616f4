/**
 * Defaults of the chain from the leader to a host, in one place because only
 * together they bound how long a host that is cut off may act on a replaced
 * configuration: `max(hostLeaseMs, wordMs)` after the change was accepted.
 * That leaves half a second of the 3 s in which an endpoint that is drained
 * may still get work. The others are so short that a lost call or a failover
 * of control is over before a lease is (design 25).
 */
export const leaseTimes = {
	/** A host's lease, from the sending of its watch call. */
	hostLeaseMs: 2500,
	/** A control host answers watches this long on the leader's word, from its asking. */
	wordMs: 2500,
	/** How often a control host asks the leader. */
	askMs: 250,
	/** A question to the leader without an answer is given up. */
	askTimeoutMs: 750,
	/** How long a control host may hold a watch call. */
	holdMs: 600,
	/** A call is given up this long after the control host should have answered. */
	answerMs: 500,
	/** The same for an answer that may be a whole snapshot, and once the lease is lost anyway. */
	patientAnswerMs: 1500,
	/** Pause of a host after a call that failed. */
	retryMs: 100,
	/** Shortest hold, for a call after one that failed or with little left of the lease. */
	shortHoldMs: 100,
} as const;

export type WatchCallTimes = {readonly holdMs: number; readonly timeoutMs: number};

export type WatchCallQuestion = {
	readonly hasCopy: boolean;
	/** What is left of the host's lease. */
	readonly leaseLeftMs: number;
	readonly failuresInARow: number;
	/** @default leaseTimes.holdMs */
	readonly holdMs?: number;
};

/**
 * How long control may hold a host's next watch call, and when the host gives
 * it up. A call that is lost must be given up while the lease still has time
 * for another. While control fails over a lease ends with the leader's last
 * word, so a call that is held for longer than that would bring the next word
 * too late. A host without a copy has no lease to lose and is sent a whole
 * snapshot; after a second failure the lease is lost, and only an answer that
 * is given its time helps.
 */
export const watchCallTimes = ({hasCopy, leaseLeftMs, failuresInARow, holdMs = leaseTimes.holdMs}: WatchCallQuestion): WatchCallTimes => {
	if (!hasCopy) {
		return {holdMs, timeoutMs: holdMs + leaseTimes.patientAnswerMs};
	}

	const heldMs = Math.min(holdMs, failuresInARow === 0 ? Math.max(leaseTimes.shortHoldMs, Math.floor(leaseLeftMs / 2)) : leaseTimes.shortHoldMs);
	return {holdMs: heldMs, timeoutMs: heldMs + (failuresInARow === 0 ? leaseTimes.answerMs : leaseTimes.patientAnswerMs)};
};
