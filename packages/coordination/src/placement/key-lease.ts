/**
 * How long an entry may accept the API keys in its cache. A revoked key must stop
 * working everywhere within a bound, also at an entry that cannot reach the core. Each
 * entry therefore accepts keys only for a limited time after it was confirmed to know
 * all of them.
 */
export type KeyLease = {readonly leaseMs: number; freshAtMs: number};

/** Share of the bound within which a revoked key must stop working; the remainder covers requests in flight. */
const leaseShare = 0.8;

export const createKeyLease = (revocationMs: number): KeyLease => ({leaseMs: revocationMs * leaseShare, freshAtMs: Number.NEGATIVE_INFINITY});

/**
 * The entry knows everything that was acknowledged before `freshAtMs`, by its own
 * clock: the time at which it sent its request to a core host, less the time between
 * that host's last confirmation that it was up to date and its answer.
 */
export const renewKeyLease = (lease: KeyLease, freshAtMs: number): void => {
	lease.freshAtMs = Math.max(lease.freshAtMs, freshAtMs);
};

export const holdsKeyLease = ({leaseMs, freshAtMs}: KeyLease, nowMs: number): boolean => nowMs < freshAtMs + leaseMs;
