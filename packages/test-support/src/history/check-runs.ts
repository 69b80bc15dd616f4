import {collectCalls, runsByKey, type Call} from './calls.js';
import type {HistoryEvent} from './events.js';
import type {Violation} from './violation.js';

/** A key that may not be repeated has run at most once, whoever resent it and wherever. */
export const checkRunsPerKey = (events: readonly HistoryEvent[]): Violation[] => [...runsByKey(events)]
	.filter(([, runs]) => runs.length > 1)
	.map(([key, runs]) => ({
		type: 'ranMoreThanOnce', atMs: runs[1]!.atMs, detail: `key ${key} ran ${runs.length} times: ${runs.map(run => `${run.requestId} on ${run.hostId}`).join(', ')}`,
	}));

const wasToldNotRun = ({ended}: Call): boolean => ended?.outcome.type === 'notRun';

/** Who was told "not run" finds no run of that request, neither earlier nor later. */
export const checkNotRun = (events: readonly HistoryEvent[]): Violation[] => {
	const calls = collectCalls(events);
	return [...calls.flatMap(call => runOfRefused(call)), ...runsOfRefusedKeys(calls, events)];
};

const runOfRefused = (call: Call): Violation[] => {
	const [run] = call.runs;
	return wasToldNotRun(call) && run !== undefined
		? [{type: 'ranAfterNotRun', atMs: run.atMs, detail: `${call.started.callId} was told "not run", but ran as ${run.requestId} on ${run.hostId}`}]
		: [];
};

/** A refusal may carry no request id; then it is enough that every call of the key was refused and the key ran all the same. */
const runsOfRefusedKeys = (calls: readonly Call[], events: readonly HistoryEvent[]): Violation[] => [...runsByKey(events)].flatMap(([key, runs]) => {
	const sameKey = calls.filter(call => call.started.key === key);
	return sameKey.length > 0 && sameKey.every(call => wasToldNotRun(call) && call.runs.length === 0)
		? [{type: 'ranAfterNotRun' as const, atMs: runs[0]!.atMs, detail: `every call with key ${key} was told "not run", but it ran on ${runs[0]!.hostId}`}]
		: [];
});
