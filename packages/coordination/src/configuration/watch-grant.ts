/** The leader's last word to a control host, and until when that host may renew leases on it. */
export type LeaderWord = {
	/** This host's clock when it asked. */
	readonly askedAtMs: number;
	readonly untilMs: number;
	/** The leader's revision at some moment after `askedAtMs`. */
	readonly revision: number;
};

export type WatchQuestion = {
	readonly word: LeaderWord | null;
	/** Revision of this control host's own copy. */
	readonly ownRevision: number;
	readonly hostRevision: number;
	/** When the call arrived here. */
	readonly arrivedAtMs: number;
	readonly nowMs: number;
};

/**
 * - `answer`: there is news for the host.
 * - `hold`: the host is up to date; answer when there is news or its wait is over.
 * - `wait`: not to be answered yet, whatever the host's wait: this control host
 *   lags, or has not heard the leader since the call came.
 * - `noContact`: this control host may not speak for a quorum.
 */
export type WatchDecision = 'answer' | 'hold' | 'wait' | 'noContact';

/**
 * Whether a control host may answer a watch, which renews the host's lease.
 *
 * A copy of the log alone is no right to answer. A control host that is cut
 * off, or that follows a leader which is itself cut off with it, would renew
 * leases for a configuration that was replaced long ago; the leader's word,
 * given while a quorum followed the leader, ends that within its time.
 *
 * A host without a copy may have served a later revision before its restart,
 * which it cannot remember. If this control host lagged behind that, the host
 * would go back. So such a host is answered only from a revision that the
 * leader gave after the call had arrived: whatever the host served before its
 * restart was committed by then.
 */
export const decideWatch = ({word, ownRevision, hostRevision, arrivedAtMs, nowMs}: WatchQuestion): WatchDecision => {
	if (word === null || nowMs >= word.untilMs) {
		return 'noContact';
	}

	const isConfirmed = hostRevision > 0 || word.askedAtMs > arrivedAtMs;
	if (!isConfirmed || ownRevision < word.revision || ownRevision < hostRevision) {
		return 'wait';
	}

	return ownRevision === hostRevision ? 'hold' : 'answer';
};

export type LeaseQuestion = {
	readonly word: LeaderWord;
	readonly hostLeaseMs: number;
	/** When the call arrived here. */
	readonly arrivedAtMs: number;
};

/**
 * The lease that the answer to a watch grants. It ends with the word that it
 * rests on: else a host whose control host was cut off would go on for a whole
 * lease after the word's end, and a drained endpoint got work for the sum of
 * both. The host counts from its sending, which is not after the arrival, so
 * no common clock is needed. 0 if the word ended before.
 */
export const grantedLeaseMs = ({word, hostLeaseMs, arrivedAtMs}: LeaseQuestion): number => Math.max(0, Math.min(hostLeaseMs, word.untilMs - arrivedAtMs));
