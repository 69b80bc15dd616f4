/**
 * Distinguishes reduced bandwidth of this host's own link from a slow source. If
 * a host whose bandwidth has dropped to a fifth continues to exchange chunks, it
 * saturates the link: its engine's events reach callers a second late, and
 * connection closes half a second late.
 */
export type LinkStrain = {
	/** Sources of the slow fetches since the last fast one. */
	readonly slowSources: Set<string>;
	backoffUntilMs: number;
	/** Number of consecutive backoffs. */
	consecutiveBackoffs: number;
};

/** Consecutive slow fetches from this many sources indicate that the host's own link is slow. */
const slowSourceThreshold = 2;
/** Time between two checks of a slow link; each check saturates it for a second. */
const initialBackoffMs = 1500;
const maxBackoffMs = 6000;

export const createLinkStrain = (): LinkStrain => ({slowSources: new Set(), backoffUntilMs: 0, consecutiveBackoffs: 0});

/** Records a fetch. `isSlow`: it took several times as long as the link should need for all concurrent fetches. Returns `true` if the host starts a backoff. */
export const recordFetch = (strain: LinkStrain, source: string, isSlow: boolean, nowMs: number): boolean => {
	if (!isSlow) {
		strain.slowSources.clear();
		strain.consecutiveBackoffs = 0;
		return false;
	}

	strain.slowSources.add(source);
	if (strain.slowSources.size < slowSourceThreshold) {
		return false;
	}

	strain.backoffUntilMs = nowMs + Math.min(maxBackoffMs, initialBackoffMs * (2 ** strain.consecutiveBackoffs));
	strain.consecutiveBackoffs++;
	strain.slowSources.clear();
	return true;
};

/** How long a link still counts as congested after a backoff; it is checked again within this time. */
const strainTimeoutMs = 3000;

/** Whether the link was recently too slow. */
export const isStrained = ({backoffUntilMs, consecutiveBackoffs}: LinkStrain, nowMs: number): boolean => consecutiveBackoffs > 0 && nowMs < backoffUntilMs + strainTimeoutMs;

/** Remaining time in which this host should not exchange chunks. */
export const strainBackoffMs = ({backoffUntilMs}: LinkStrain, nowMs: number): number => Math.max(0, backoffUntilMs - nowMs);
