import {collectCalls, runsByKey, type Call} from './calls.js';
import type {HistoryEvent} from './events.js';
import type {Violation} from './violation.js';

/** Checks that a key that must not be repeated has run at most once, whichever caller retried it and on whichever host. */
export const checkRunsPerKey = (events: readonly HistoryEvent[]): Violation[] => [...runsByKey(events)]
	.filter(([, runs]) => runs.length > 1)
	.map(([key, runs]) => ({
		type: 'ranMoreThanOnce', atMs: runs[1]!.atMs, detail: `key ${key} ran ${runs.length} times: ${runs.map(run => `${run.requestId} on ${run.hostId}`).join(', ')}`,
	}));

const gotNotRun = ({ended}: Call): boolean => ended?.outcome.type === 'notRun';

/** Checks that a request whose caller got "not run" has no run, neither earlier nor later. */
export const checkNotRun = (events: readonly HistoryEvent[]): Violation[] => {
	const calls = collectCalls(events);
	return [...calls.flatMap(call => runOfRefused(call)), ...runsOfRefusedKeys(calls, events)];
};

const runOfRefused = (call: Call): Violation[] => {
	const [run] = call.runs;
	return gotNotRun(call) && run !== undefined
		? [{type: 'ranAfterNotRun', atMs: run.atMs, detail: `${call.started.callId} got "not run", but ran as ${run.requestId} on ${run.hostId}`}]
		: [];
};

/** A refusal may have no request id; then it is a violation if every call of the key was refused and the key still ran. */
const runsOfRefusedKeys = (calls: readonly Call[], events: readonly HistoryEvent[]): Violation[] => [...runsByKey(events)].flatMap(([key, runs]) => {
	const sameKey = calls.filter(call => call.started.key === key);
	return sameKey.length > 0 && sameKey.every(call => gotNotRun(call) && call.runs.length === 0)
		? [{type: 'ranAfterNotRun' as const, atMs: runs[0]!.atMs, detail: `every call with key ${key} got "not run", but it ran on ${runs[0]!.hostId}`}]
		: [];
});
