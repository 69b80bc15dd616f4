export type Clock = {
	/** Milliseconds since an arbitrary point in time; never decreases. */
	nowMs(): number;
};

export type SuspendAwareClockOptions = {
	/** Monotonic clock, which may stop while the machine is suspended. */
	steadyNowMs(): number;
	/** Wall clock, which may be adjusted. */
	wallNowMs(): number;
	/** A smaller lead of the wall clock over the monotonic clock counts as drift or rounding. @default 250 */
	readonly toleranceMs?: number;
};

/**
 * A clock for leases. While a machine is suspended its monotonic clock stops, so a
 * lease that expired in the meantime would look valid on resume, and requests with
 * a revoked key would be served. The wall clock continues: its lead over the
 * monotonic clock counts as elapsed time. A forward step of the wall clock expires
 * leases early, which costs one renewal and is otherwise harmless.
 */
export const createSuspendAwareClock = ({steadyNowMs, wallNowMs, toleranceMs = 250}: SuspendAwareClockOptions): Clock => {
	let steadyMs = steadyNowMs();
	let wallMs = wallNowMs();
	let suspendedMs = 0;
	return {
		nowMs() {
			const steady = steadyNowMs();
			const wall = wallNowMs();
			const leadMs = (wall - wallMs) - (steady - steadyMs);
			steadyMs = steady;
			wallMs = wall;
			if (leadMs > toleranceMs) {
				suspendedMs += leadMs;
			}

			return steady + suspendedMs;
		},
	};
};
