/** A team's usage, as read from its token bucket. */
export type TeamUsage = {
	/** Tokens requested since the start, whether admitted or not. */
	readonly offered: number;
	readonly level: number;
	readonly burst: number;
};

/** Rate that an entry needs for one team. */
export type Need = {
	offered: number;
	/** Tokens requested per second, smoothed. */
	demand: number;
	/** `demand` plus the rate that refills the bucket. */
	rate: number;
};

const demandTimeConstantMs = 2000;
const bucketRefillSeconds = 20;

/**
 * Updates each team's smoothed demand and adds the rate that refills its bucket.
 * If buckets were refilled faster, or without demand, entries would use rate for
 * their buckets that other entries need for requests (docs/design/0043).
 */
export const updateNeeds = (needs: Map<string, Need>, usages: ReadonlyMap<string, TeamUsage>, elapsedMs: number): void => {
	for (const teamId of needs.keys()) {
		if (!usages.has(teamId)) {
			needs.delete(teamId);
		}
	}

	for (const [teamId, {offered, level, burst}] of usages) {
		const need = needs.get(teamId) ?? {offered, demand: 0, rate: 0};
		const observed = elapsedMs > 0 ? (offered - need.offered) * 1000 / elapsedMs : need.demand;
		need.demand += (observed - need.demand) * (1 - Math.exp(-elapsedMs / demandTimeConstantMs));
		need.offered = offered;
		need.rate = need.demand + Math.min(need.demand, Math.max(0, burst - level) / bucketRefillSeconds);
		needs.set(teamId, need);
	}
};
