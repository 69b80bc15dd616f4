import type {AdmissionState} from './admission.js';
import type {TeamUse} from './share-needs.js';

/** What each team may have a second over all entries; nothing without a limit. */
export const teamRatesOf = ({options: {fleetTokensPerSecond}}: AdmissionState, teams: ReadonlyMap<string, number>): Map<string, number> => {
	let totalWeight = 0;
	for (const weight of teams.values()) {
		totalWeight += weight;
	}

	return new Map(fleetTokensPerSecond === null ? [] : [...teams].map(([teamId, weight]) => [teamId, fleetTokensPerSecond * weight / totalWeight]));
};

/** What the teams use of their buckets. */
export const teamUses = ({teams}: AdmissionState): Map<string, TeamUse> => {
	const uses = new Map<string, TeamUse>();
	for (const [teamId, {bucket, offered}] of teams) {
		if (bucket !== null) {
			uses.set(teamId, {offered, level: bucket.level, burst: bucket.burst});
		}
	}

	return uses;
};

/** For an entry that shares the limit with nobody: what it let through before is not known, and nobody else did. */
export const fillBuckets = ({teams}: AdmissionState): void => {
	for (const {bucket} of teams.values()) {
		if (bucket !== null) {
			bucket.level = bucket.burst;
		}
	}
};
