/**
 * Default times for the path from the leader over a control host to a host.
 * They are defined together because in combination they bound how long a
 * partitioned host may act on a replaced configuration: `max(hostLeaseMs,
 * leaderLeaseMs)` after the change was accepted. A drained endpoint may receive
 * requests for at most 3 s, so this leaves half a second of margin. The other
 * times are short enough that a lost call or a failover of the control plane
 * ends before a lease expires (see
 * docs/design/0025-how-long-a-lease-lasts.md).
 */
export const leaseTimes = {
	/** Duration of a host's lease, starting when the host sends its watch call. */
	hostLeaseMs: 2500,
	/** Duration of the lease that the leader grants to a control host for answering watches, starting when the control host sends its request. */
	leaderLeaseMs: 2500,
	/** Interval at which a control host sends requests to the leader. */
	leaderRequestIntervalMs: 250,
	/** Timeout of a request to the leader. */
	leaderRequestTimeoutMs: 750,
	/** Maximum time for which a control host holds a watch call (long poll). */
	holdMs: 600,
	/** A call times out this long after the control host should have answered. */
	responseGraceMs: 500,
	/** The same for an answer that may contain a complete snapshot, and for calls after the lease is lost. */
	longResponseGraceMs: 1500,
	/** Delay of a host after a failed call. */
	retryDelayMs: 100,
	/** Minimum hold time, used after a failed call or when the lease is about to expire. */
	minHoldMs: 100,
} as const;

export type WatchCallTimes = {readonly holdMs: number; readonly timeoutMs: number};

export type WatchCallContext = {
	readonly hasCopy: boolean;
	/** Remaining time of the host's lease. */
	readonly leaseLeftMs: number;
	readonly failuresInARow: number;
	/** @default leaseTimes.holdMs */
	readonly holdMs?: number;
};

/**
 * Computes the hold time and the timeout of a host's next watch call. A lost
 * call must time out while the lease leaves time for another one. During a
 * failover of the control plane a host's lease ends with the last lease that the
 * leader granted to its control host, so a call held for longer would renew it
 * too late. A host without a copy has no lease to lose and receives a complete
 * snapshot. After a second failure the lease is lost, so the call gets the long
 * timeout to let a slow answer succeed.
 */
export const watchCallTimes = ({hasCopy, leaseLeftMs, failuresInARow, holdMs = leaseTimes.holdMs}: WatchCallContext): WatchCallTimes => {
	if (!hasCopy) {
		return {holdMs, timeoutMs: holdMs + leaseTimes.longResponseGraceMs};
	}

	const heldMs = Math.min(holdMs, failuresInARow === 0 ? Math.max(leaseTimes.minHoldMs, Math.floor(leaseLeftMs / 2)) : leaseTimes.minHoldMs);
	return {holdMs: heldMs, timeoutMs: heldMs + (failuresInARow === 0 ? leaseTimes.responseGraceMs : leaseTimes.longResponseGraceMs)};
};
