/** What a team's bucket tells of its use. */
export type TeamUse = {
	/** Tokens asked for since the start, let through or not. */
	readonly offered: number;
	readonly level: number;
	readonly burst: number;
};

/** What an entry needs for one team. */
export type Need = {
	offered: number;
	/** Tokens asked for a second. */
	demand: number;
	/** The same, and what fills the bucket again. */
	rate: number;
};

const demandMs = 2000;
const refillSeconds = 20;

/**
 * What a team asks for here, smoothed, and what its bucket lacks, so that it
 * fills again. Filled faster, or where nobody asks, entries would keep for their buckets
 * what others have requests for (docs/design/0043).
 */
export const noteUse = (needs: Map<string, Need>, uses: ReadonlyMap<string, TeamUse>, elapsedMs: number): void => {
	for (const teamId of needs.keys()) {
		if (!uses.has(teamId)) {
			needs.delete(teamId);
		}
	}

	for (const [teamId, {offered, level, burst}] of uses) {
		const need = needs.get(teamId) ?? {offered, demand: 0, rate: 0};
		const seen = elapsedMs > 0 ? (offered - need.offered) * 1000 / elapsedMs : need.demand;
		need.demand += (seen - need.demand) * (1 - Math.exp(-elapsedMs / demandMs));
		need.offered = offered;
		need.rate = need.demand + Math.min(need.demand, Math.max(0, burst - level) / refillSeconds);
		needs.set(teamId, need);
	}
};
