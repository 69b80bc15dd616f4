/** A version that is wanted, and how far its weights have come on this host. */
export type WantedVersion = {
	readonly version: number;
	/** Of its chunks, those that this host holds. */
	readonly heldShare: number;
	/** Since a chunk of it came, or since it was begun with; `null` if it never was. */
	readonly idleMs: number | null;
	/** For how long requests may still begin on it: until a newer one is due. */
	readonly usableForMs: number;
};

export type PursueOptions = {
	/** Those that are newer than what the engine serves. */
	readonly wanted: readonly WantedVersion[];
	/** The version that is being fetched now; `null` for none. */
	readonly current: number | null;
};

/** Ten times what a chunk takes on a host's link: its sources are gone. */
const stalledMs = 800;
/** Leaving service, loading and serving again take about as long: for less, an older version is not worth it. */
const leastUseMs = 1200;

const isStalled = ({heldShare, idleMs}: WantedVersion): boolean => heldShare < 1 && idleMs !== null && idleMs > stalledMs;

const isWorthwhile = ({heldShare, usableForMs}: WantedVersion): boolean => heldShare > 0 && usableForMs > leastUseMs;

/**
 * Which version to bring to the engine now: the newest, unless nothing of it comes.
 * Two versions may be named in a row, and the origin be lost behind the second: the
 * hosts hold most of the first among them, nobody has the second, and from the
 * moment at which the first is due nobody may serve. What an older version lacks
 * comes from the other hosts, without the origin; it serves until the newer one is
 * due, or is there.
 */
export const pursuedVersion = ({wanted, current}: PursueOptions): number | null => {
	const newest = wanted.toSorted((a, b) => b.version - a.version)[0];
	if (newest === undefined) {
		return null;
	}

	const pursued = wanted.find(({version}) => version === current);
	if (pursued !== undefined && pursued !== newest && newest.idleMs !== null && isWorthwhile(pursued) && !isStalled(pursued)) {
		return pursued.version;
	}

	if (current !== newest.version || !isStalled(newest)) {
		return newest.version;
	}

	const older = wanted.filter(version => version !== newest && isWorthwhile(version)).toSorted((a, b) => b.heldShare - a.heldShare)[0];
	return older?.version ?? newest.version;
};
