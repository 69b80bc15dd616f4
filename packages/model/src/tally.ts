import type {ModelKind} from './scenario.js';

export type Outcome = 'inTime' | 'late' | 'refused' | 'lost';

/** What callers of a kind, or of a second, got. */
export type Counts = Record<Outcome, number> & {asked: number};

export type Tally = {
	readonly byKind: ReadonlyMap<string, Counts>;
	/** By the second in which a caller first asked. */
	readonly bySecond: Counts[];
	refusals: number;
	/** Time that requests were held which were then refused. */
	heldInVainMs: number;
};

const createCounts = (): Counts => ({
	asked: 0, inTime: 0, late: 0, refused: 0, lost: 0,
});

export const createTally = (kinds: readonly ModelKind[], lengthS: number): Tally => ({
	byKind: new Map(kinds.map(({name}) => [name, createCounts()])), bySecond: Array.from({length: lengthS}, createCounts), refusals: 0, heldInVainMs: 0,
});

const countsOf = ({byKind, bySecond}: Tally, kind: string, askedAtMs: number): readonly Counts[] => [byKind.get(kind)!, bySecond[Math.floor(askedAtMs / 1000)]!];

export const noteAsked = (tally: Tally, kind: string, askedAtMs: number): void => {
	for (const counts of countsOf(tally, kind, askedAtMs)) {
		counts.asked++;
	}
};

export const noteOutcome = (tally: Tally, kind: string, askedAtMs: number, outcome: Outcome): void => {
	for (const counts of countsOf(tally, kind, askedAtMs)) {
		counts[outcome]++;
	}
};

/** What one play came to; shares are of all requests. */
export type Result = Record<Outcome, number> & {
	/** Worth earned of the worth asked. */
	readonly worth: number;
	/** Served at all, in time or late: 1 for one in a thousand that is not. */
	readonly nines: number;
	readonly worstKind: number;
	/** Worth of the two worst seconds. */
	readonly worstSeconds: number;
	readonly refusalsPerCaller: number;
	readonly heldInVainMs: number;
};

const ninesScale = 3;
const fewest = 1e-3;

export const summarize = ({byKind, bySecond, refusals, heldInVainMs}: Tally, kinds: readonly ModelKind[]): Result => {
	const sum = (field: keyof Counts): number => [...byKind.values()].reduce((total, counts) => total + counts[field], 0);
	const asked = Math.max(1, sum('asked'));
	const worths = kinds.map(({name, worth, lateWorth}) => {
		const counts = byKind.get(name)!;
		return {earned: (counts.inTime * worth) + (counts.late * lateWorth), owed: counts.asked * worth};
	});
	const unserved = Math.max(fewest, (sum('refused') + sum('lost')) / asked);
	const seconds = bySecond.filter(counts => counts.asked > 0).map(counts => (counts.inTime + (counts.late / 4)) / counts.asked).toSorted((a, b) => a - b);
	return {
		inTime: sum('inTime') / asked, late: sum('late') / asked, refused: sum('refused') / asked, lost: sum('lost') / asked,
		worth: worths.reduce((total, {earned}) => total + earned, 0) / worths.reduce((total, {owed}) => total + owed, 0),
		nines: Math.min(1, -Math.log10(unserved) / ninesScale),
		worstKind: Math.min(...worths.map(({earned, owed}) => owed === 0 ? 1 : earned / owed)),
		worstSeconds: ((seconds[0] ?? 0) + (seconds[1] ?? 0)) / 2,
		refusalsPerCaller: refusals / asked, heldInVainMs: heldInVainMs / asked,
	};
};
