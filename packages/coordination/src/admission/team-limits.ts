import type {AdmissionState} from './admission.js';
import type {TeamUsage} from './share-needs.js';

/** Fleet-wide rate of each team in tokens per second; empty without a limit. */
export const teamRatesOf = ({options: {fleetTokensPerSecond}}: AdmissionState, teams: ReadonlyMap<string, number>): Map<string, number> => {
	let totalWeight = 0;
	for (const weight of teams.values()) {
		totalWeight += weight;
	}

	return new Map(fleetTokensPerSecond === null ? [] : [...teams].map(([teamId, weight]) => [teamId, fleetTokensPerSecond * weight / totalWeight]));
};

/** Usage of each team that has a token bucket. */
export const teamUsages = ({teams}: AdmissionState): Map<string, TeamUsage> => {
	const usages = new Map<string, TeamUsage>();
	for (const [teamId, {bucket, offered}] of teams) {
		if (bucket !== null) {
			usages.set(teamId, {offered, level: bucket.level, burst: bucket.burst});
		}
	}

	return usages;
};

/** Fills all buckets, for an entry that shares the limit with no other: its usage before the start is unknown, and no other entry has spent the burst. */
export const fillBuckets = ({teams}: AdmissionState): void => {
	for (const {bucket} of teams.values()) {
		if (bucket !== null) {
			bucket.level = bucket.burst;
		}
	}
};
