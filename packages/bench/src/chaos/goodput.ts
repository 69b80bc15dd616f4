import {eventsOf, type HistoryEvent} from '@bitternpaddle/test-support';

export type Tally = {
	requests: number;
	/** Number of faults of each kind. */
	readonly faults: Record<string, number>;
	/** By kind of fault: the calls in flight during such a fault, and those of them that received a complete answer. */
	readonly during: Record<string, {calls: number; whole: number}>;
	/** Number of calls by outcome. */
	readonly outcomes: Record<string, number>;
};

export const createTally = (): Tally => ({
	requests: 0, faults: {}, during: {}, outcomes: {},
});

const addCounts = (total: Record<string, number>, counts: Readonly<Record<string, number>>): void => {
	for (const [name, count] of Object.entries(counts)) {
		total[name] = (total[name] ?? 0) + count;
	}
};

export const addTally = (total: Tally, tally: Tally): void => {
	total.requests += tally.requests;
	addCounts(total.faults, tally.faults);
	addCounts(total.outcomes, tally.outcomes);
	for (const [kind, {calls, whole}] of Object.entries(tally.during)) {
		const kindCounts = total.during[kind] ?? {calls: 0, whole: 0};
		total.during[kind] = {calls: kindCounts.calls + calls, whole: kindCounts.whole + whole};
	}
};

/** Adds the history of one cluster to a tally. */
export const addHistory = (tally: Tally, events: readonly HistoryEvent[]): void => {
	const ends = new Map(eventsOf(events, 'callEnded').map(end => [end.callId, end]));
	const faultEnds = new Map(eventsOf(events, 'faultEnded').map(({faultId, atMs}) => [faultId, atMs]));
	const faults = eventsOf(events, 'faultStarted').map(fault => ({...fault, endMs: faultEnds.get(fault.faultId) ?? Number.POSITIVE_INFINITY}));
	for (const {kind} of faults) {
		tally.faults[kind] = (tally.faults[kind] ?? 0) + 1;
	}

	for (const call of eventsOf(events, 'callStarted')) {
		const end = ends.get(call.callId);
		const outcome = end?.outcome.type ?? 'unfinished';
		tally.requests++;
		tally.outcomes[outcome] = (tally.outcomes[outcome] ?? 0) + 1;
		const kinds = new Set(faults.filter(fault => fault.atMs <= (end?.atMs ?? Number.POSITIVE_INFINITY) && fault.endMs >= call.atMs).map(fault => fault.kind));
		for (const kind of kinds) {
			const kindCounts = tally.during[kind] ?? {calls: 0, whole: 0};
			kindCounts.calls++;
			kindCounts.whole += outcome === 'answered' ? 1 : 0;
			tally.during[kind] = kindCounts;
		}
	}
};

/** Returns the share of calls that received a complete answer, by kind of fault. */
export const goodputOf = ({during}: Tally): Record<string, number> => Object.fromEntries(Object.entries(during)
	.toSorted(([a], [b]) => a.localeCompare(b))
	.map(([kind, {calls, whole}]) => [kind, Math.round(whole / calls * 1000) / 1000]));
