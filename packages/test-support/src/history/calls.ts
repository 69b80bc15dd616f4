import {eventsOf, type EventOf, type HistoryEvent} from './events.js';

/** One caller's request: what the caller observed, and what ran. */
export type Call = {
	readonly started: EventOf<'callStarted'>;
	/** `undefined` if the history ends before the call does. */
	readonly ended: EventOf<'callEnded'> | undefined;
	/** Runs that belong to this call, by its text or by the request id that the caller got. */
	readonly runs: ReadonlyArray<EventOf<'runStarted'>>;
};

const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> => {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
};

export const runsByKey = (events: readonly HistoryEvent[]): Map<string, Array<EventOf<'runStarted'>>> => groupBy(
	eventsOf(events, 'runStarted').filter(run => run.key !== null),
	run => run.key!,
);

export const collectCalls = (events: readonly HistoryEvent[]): Call[] => {
	const ended = new Map(eventsOf(events, 'callEnded').map(event => [event.callId, event]));
	const runs = eventsOf(events, 'runStarted');
	const byEcho = groupBy(runs.filter(run => run.key === null), run => run.echo);
	const byRequestId = groupBy(runs, run => run.requestId);
	return eventsOf(events, 'callStarted').map(started => {
		const end = ended.get(started.callId);
		const requestId = end === undefined || !('requestId' in end.outcome) ? null : end.outcome.requestId;
		// Caller retries of a key share their text, so only the request id identifies the call of a run.
		const own = started.key === null
			? byEcho.get(started.echo) ?? []
			: byRequestId.get(requestId ?? '') ?? [];
		return {started, ended: end, runs: own};
	});
};
