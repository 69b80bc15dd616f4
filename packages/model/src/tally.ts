import type {CallerClass} from './scenario.js';

export type Outcome = 'inTime' | 'late' | 'refused' | 'lost';

/** Request outcomes of one caller class, or of one second. */
export type Counts = Record<Outcome, number> & {asked: number};

export type Tally = {
	readonly byClass: ReadonlyMap<string, Counts>;
	/** By the second of the caller's first attempt. */
	readonly bySecond: Counts[];
	refusals: number;
	/** Total time in the wait queue of requests that were then refused. */
	heldInVainMs: number;
};

const createCounts = (): Counts => ({
	asked: 0, inTime: 0, late: 0, refused: 0, lost: 0,
});

export const createTally = (callerClasses: readonly CallerClass[], durationS: number): Tally => ({
	byClass: new Map(callerClasses.map(({name}) => [name, createCounts()])), bySecond: Array.from({length: durationS}, createCounts), refusals: 0, heldInVainMs: 0,
});

const countsOf = ({byClass, bySecond}: Tally, className: string, requestedAtMs: number): readonly Counts[] => [byClass.get(className)!, bySecond[Math.floor(requestedAtMs / 1000)]!];

export const recordRequest = (tally: Tally, className: string, requestedAtMs: number): void => {
	for (const counts of countsOf(tally, className, requestedAtMs)) {
		counts.asked++;
	}
};

export const recordOutcome = (tally: Tally, className: string, requestedAtMs: number, outcome: Outcome): void => {
	for (const counts of countsOf(tally, className, requestedAtMs)) {
		counts[outcome]++;
	}
};

/** Result of one simulation run; shares are of all requests. */
export type Result = Record<Outcome, number> & {
	/** Value of the answers, as a share of the value if all had been in time. */
	readonly worth: number;
	/** Availability on a logarithmic scale, late answers included: 1 means at most 1 in 1,000 requests is not served. */
	readonly nines: number;
	/** The lowest value share of any caller class. */
	readonly worstKind: number;
	/** Mean score of the two worst seconds; a late answer counts a quarter. */
	readonly worstSeconds: number;
	readonly refusalsPerCaller: number;
	readonly heldInVainMs: number;
};

const ninesForFullScore = 3;
const minUnservedShare = 1e-3;

export const summarize = ({byClass, bySecond, refusals, heldInVainMs}: Tally, callerClasses: readonly CallerClass[]): Result => {
	const sum = (field: keyof Counts): number => [...byClass.values()].reduce((total, counts) => total + counts[field], 0);
	const asked = Math.max(1, sum('asked'));
	const scores = callerClasses.map(({name, worth, lateWorth}) => {
		const counts = byClass.get(name)!;
		return {earned: (counts.inTime * worth) + (counts.late * lateWorth), possible: counts.asked * worth};
	});
	const unserved = Math.max(minUnservedShare, (sum('refused') + sum('lost')) / asked);
	const secondScores = bySecond.filter(counts => counts.asked > 0).map(counts => (counts.inTime + (counts.late / 4)) / counts.asked).toSorted((a, b) => a - b);
	return {
		inTime: sum('inTime') / asked, late: sum('late') / asked, refused: sum('refused') / asked, lost: sum('lost') / asked,
		worth: scores.reduce((total, {earned}) => total + earned, 0) / scores.reduce((total, {possible}) => total + possible, 0),
		nines: Math.min(1, -Math.log10(unserved) / ninesForFullScore),
		worstKind: Math.min(...scores.map(({earned, possible}) => possible === 0 ? 1 : earned / possible)),
		worstSeconds: ((secondScores[0] ?? 0) + (secondScores[1] ?? 0)) / 2,
		refusalsPerCaller: refusals / asked, heldInVainMs: heldInVainMs / asked,
	};
};
