/** The latest lease that the leader granted to a control host; the control host may renew its hosts' leases until `untilMs`. */
export type LeaderLease = {
	/** When this control host sent the request, by its own clock. */
	readonly requestedAtMs: number;
	readonly untilMs: number;
	/** The leader's revision at some time after `requestedAtMs`. */
	readonly revision: number;
};

export type WatchDecisionOptions = {
	readonly leaderLease: LeaderLease | null;
	/** Revision of this control host's copy. */
	readonly ownRevision: number;
	readonly hostRevision: number;
	/** When the call arrived at this control host. */
	readonly arrivedAtMs: number;
	readonly nowMs: number;
};

/**
 * - `answer`: there is an update for the host.
 * - `hold`: the host is up to date; answer when there is an update or the hold time is over.
 * - `wait`: must not be answered yet, even if the hold time is over: this control
 *   host lags, or has had no response from the leader to a request sent after
 *   the call arrived.
 * - `noContact`: this control host has no valid lease from the leader.
 */
export type WatchDecision = 'answer' | 'hold' | 'wait' | 'noContact';

/**
 * Decides whether a control host may answer a watch, which renews the host's lease.
 *
 * Having a copy of the log is not sufficient. A control host that is
 * partitioned, alone or together with its leader, would renew leases for a
 * configuration that was replaced long ago. The leader grants its lease only
 * while a quorum follows it, so its expiry bounds how long that can last.
 *
 * A host without a copy may have served a later revision before its restart.
 * If this control host lagged behind that revision, answering would revert the
 * host. Such a host is therefore answered only on a lease that was requested
 * after the call had arrived: everything that the host served before its
 * restart was committed by then.
 */
export const decideWatch = ({leaderLease: grant, ownRevision, hostRevision, arrivedAtMs, nowMs}: WatchDecisionOptions): WatchDecision => {
	if (grant === null || nowMs >= grant.untilMs) {
		return 'noContact';
	}

	const isConfirmed = hostRevision > 0 || grant.requestedAtMs > arrivedAtMs;
	if (!isConfirmed || ownRevision < grant.revision || ownRevision < hostRevision) {
		return 'wait';
	}

	return ownRevision === hostRevision ? 'hold' : 'answer';
};

export type LeaseGrantOptions = {
	readonly lease: LeaderLease;
	readonly hostLeaseMs: number;
	/** When the call arrived at this control host. */
	readonly arrivedAtMs: number;
};

/**
 * The lease that the answer to a watch grants to the host. It ends no later
 * than the control host's own lease from the leader. Otherwise a host whose
 * control host is partitioned would continue for another full lease, and a
 * drained endpoint would receive requests for the sum of both. The host counts
 * from when it sent the call, which is not after its arrival, so no common
 * clock is needed. 0 if the leader's lease expired before the call arrived.
 */
export const grantedLeaseMs = ({lease: grant, hostLeaseMs, arrivedAtMs}: LeaseGrantOptions): number => Math.max(0, Math.min(hostLeaseMs, grant.untilMs - arrivedAtMs));
