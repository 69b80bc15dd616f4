/** Evidence for and against a prompt part, since a run with it last completed. Only fresh runs that broke are counted. */
export type PartEvidence = {
	/** Exits at which a run with the part broke, except those attributed to another part. */
	readonly exits: number;
	/** Other unattributed exits of endpoints with the same model in the same period. */
	readonly otherExits: number;
	/** Requests of different content with the part at those exits. */
	readonly requests: number;
	/** Exits at which it broke that are not almost simultaneous with another one. */
	readonly moments: number;
	/** Runs of the same model that broke in this period, and those of them with the part. */
	readonly brokenRuns: number;
	readonly brokenRunsWithPart: number;
	/** Runs that broke at each of the exits, and at each of the other ones. */
	readonly exitSizes: readonly number[];
	readonly otherExitSizes: readonly number[];
	/** Runs of the same model that completed in this period; none of them had the part. */
	readonly completions: number;
};

/** Fewer exits condemn no part. */
export const minExits = 5;
/** Fewer are judged as a whole. */
const minRequests = 4;
/** Endpoints that exit at the same moment have a common cause outside of their requests. */
const minMoments = 3;
/** Short answers complete first, and those with the same part may all be long. */
const maxSurprisePerCompletion = Math.log(2);
/** Negative logarithm of the probability of a coincidence. */
const minSurprise = 5;

/** How unlikely it is that none of the completed runs had the part by coincidence, if it is in as many of them as of the broken ones. */
const surpriseOfCompletions = ({brokenRuns, brokenRunsWithPart, completions}: PartEvidence): number =>
	completions * Math.min(maxSurprisePerCompletion, Math.log((brokenRuns + 1) / (brokenRuns - brokenRunsWithPart + 1)));

/**
 * How much better its presence at the exits is explained if it causes exits than if it is
 * there by its share in the broken runs. A request that is repeated follows the exits,
 * so its repeats do not count.
 */
const surpriseOfPresence = ({exits, otherExits, requests, brokenRuns, brokenRunsWithPart, exitSizes, otherExitSizes}: PartEvidence): number => {
	const share = (brokenRunsWithPart + 0.5) / (brokenRuns + 1);
	const observed = (exits + 0.5) / (exits + otherExits + 1);
	let surprise = 0;
	for (const size of exitSizes) {
		surprise += Math.log(observed / (1 - ((1 - share) ** size)));
	}

	for (const size of otherExitSizes) {
		surprise += Math.log((1 - observed) / ((1 - share) ** size));
	}

	return Math.max(0, surprise) * Math.min(1, requests / exits);
};

/** How much the evidence speaks against a part; 0 if it does not. */
export const surpriseOf = (evidence: PartEvidence): number => surpriseOfCompletions(evidence) + surpriseOfPresence(evidence);

/**
 * Whether a part crashes the endpoints that run requests with it. Parts that break by
 * coincidence, or because requests with them share another part, are in completed runs
 * about as often as in broken ones, and are missing at some exits.
 */
export const isCrashingPart = (evidence: PartEvidence): boolean => {
	const {exits, otherExits, requests, moments} = evidence;
	return exits >= minExits && requests >= minRequests && moments >= minMoments && otherExits <= exits && surpriseOf(evidence) >= minSurprise;
};
