import {collectCalls, type Call} from './calls.js';
import {eventsOf, type EventOf, type HistoryEvent} from './events.js';
import type {Violation} from './violation.js';

type Interval = {readonly startMs: number; readonly endMs: number};

type Leave = Interval & {readonly nodeId: string; readonly cause: 'drain' | 'stop'};

const collectLeaves = (events: readonly HistoryEvent[]): Leave[] => {
	const ends = eventsOf(events, 'leaveEnded');
	return eventsOf(events, 'leaveStarted').map(({nodeId, cause, atMs}) => ({
		nodeId, cause, startMs: atMs, endMs: ends.find(end => end.nodeId === nodeId && end.atMs >= atMs)?.atMs ?? Number.POSITIVE_INFINITY,
	}));
};

/** Checks that nothing starts on a host later than `boundMs` after its drain or stop, until it is back. */
export const checkLeaving = (events: readonly HistoryEvent[], boundMs: number): Violation[] => {
	const runs = eventsOf(events, 'runStarted');
	return collectLeaves(events).flatMap(leave => runs
		.filter(run => run.hostId === leave.nodeId && run.atMs > leave.startMs + boundMs && run.atMs < leave.endMs)
		.map(run => ({
			type: 'workAfterLeaving' as const, atMs: run.atMs, detail: `${run.requestId} started on ${run.hostId} ${Math.round(run.atMs - leave.startMs)} ms after its ${leave.cause}`,
		})));
};

type Fault = Interval & {readonly nodeIds: readonly string[]};

const collectFaults = (events: readonly HistoryEvent[]): Fault[] => {
	const ends = new Map(eventsOf(events, 'faultEnded').map(end => [end.faultId, end.atMs]));
	return eventsOf(events, 'faultStarted').map(({faultId, nodeIds, atMs}) => ({nodeIds, startMs: atMs, endMs: ends.get(faultId) ?? Number.POSITIVE_INFINITY}));
};

const overlap = (a: Interval, b: Interval): boolean => a.startMs <= b.endMs && b.startMs <= a.endMs;

/**
 * Finds calls whose answer was truncated, or that got "may have run", while a node on their path
 * was in a planned stop or drain. A simultaneous fault on one of the nodes of the
 * path may have been the cause, so such a call does not count as a violation.
 */
export const checkPlannedStops = (events: readonly HistoryEvent[]): Violation[] => {
	const leaves = collectLeaves(events);
	const faults = collectFaults(events);
	return collectCalls(events).flatMap(call => {
		const {started, ended} = call;
		if (ended === undefined || !isInterrupted(ended)) {
			return [];
		}

		const nodes = new Set(nodesOf(call));
		const during = {startMs: started.atMs, endMs: ended.atMs};
		const leave = leaves.find(candidate => nodes.has(candidate.nodeId) && overlap(during, candidate));
		const isExcused = faults.some(fault => overlap(during, fault) && (call.runs.length === 0 || fault.nodeIds.some(nodeId => nodes.has(nodeId))));
		return leave === undefined || isExcused
			? []
			: [{type: 'cutByPlannedStop' as const, atMs: ended.atMs, detail: `${started.callId} ended ${ended.outcome.type} while ${leave.nodeId} was in a planned ${leave.cause}`}];
	});
};

const isInterrupted = ({outcome}: EventOf<'callEnded'>): boolean => outcome.type === 'cut' || outcome.type === 'mayHaveRun';

const nodesOf = ({started, runs}: Call): string[] => [started.entryId, ...runs.map(run => run.hostId)];
