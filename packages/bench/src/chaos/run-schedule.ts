import {setTimeout as delay} from 'node:timers/promises';
import type {FailureCluster} from '@bitternpaddle/daemon';
import {eventsOf, type CallOutcome} from '@bitternpaddle/test-support';
import {startFault, type ActiveFault} from './faults.js';
import type {PlannedFault, Schedule} from './schedule.js';
import {booking, callThrough, startTraffic} from './traffic.js';

/** The result of one schedule, apart from the recorded history. */
export type ScheduleRun = {
	readonly schedule: Schedule;
	readonly startedAtMs: number;
	readonly endedAtMs: number;
	/** Descriptions of what did not finish or recover in time. */
	readonly hangs: readonly string[];
	readonly errors: readonly string[];
};

const recoveryMs = 15_000;
const hangMs = 15_000;
const probePauseMs = 50;

type Problems = {readonly hangs: string[]; readonly errors: string[]};

/** Waits for `work` up to a timeout; records a hang or an error instead of throwing. */
const awaitWithTimeout = async (what: string, work: Promise<unknown>, {hangs, errors}: Problems): Promise<void> => {
	const timeout = new AbortController();
	const result = await Promise.race([
		work.then(() => 'done', (error: unknown) => {
			errors.push(`${what}: ${(error as Error).message}`);
			return 'done';
		}),
		delay(hangMs, 'hang', {signal: timeout.signal}),
	]);
	timeout.abort();
	if (result === 'hang') {
		hangs.push(what);
	}
};

const runFault = async (cluster: FailureCluster, fault: PlannedFault, name: string, problems: Problems): Promise<void> => {
	const {history} = cluster;
	const {kind} = fault;
	await delay(fault.startMs);
	let active: ActiveFault | undefined;
	await awaitWithTimeout(`start of ${kind}`, (async () => {
		active = await startFault({
			cluster, fault, name, recordAffected(nodeIds) {
				history.record({
					type: 'faultStarted', faultId: name, kind, nodeIds,
				});
			},
		});
	})(), problems);
	await delay(fault.durationMs);
	if (active !== undefined) {
		await awaitWithTimeout(`reverting ${kind}`, active.undo(), problems);
		await awaitWithTimeout(`completing the work started by ${kind}`, active.done, problems);
	}

	history.record({type: 'faultEnded', faultId: name});
};

/** Waits until both entries serve the model and the ledger again; returns false on a timeout. */
const waitForRecovery = async (cluster: FailureCluster, name: string): Promise<boolean> => {
	const deadlineAtMs = performance.now() + recoveryMs;
	for (let attempt = 0; performance.now() < deadlineAtMs; attempt++) {
		const callId = `${name}-probe-${attempt}`;
		const outcomes = await Promise.all(cluster.entries.flatMap((_, position) => [
			callThrough(cluster, {
				callId: `${callId}-${position}`, position, target: {
					type: 'model', modelId: 'pitch-desk', isStream: false, maxTokens: 1,
				},
			}),
			callThrough(cluster, {callId: `key-${callId}-${position}`, position, target: booking(`key-${callId}-${position}`)}),
		]));
		if (outcomes.every(outcome => outcome?.type === 'answered')) {
			return true;
		}

		await delay(probePauseMs);
	}

	return false;
};

const conflictStatus = 409;

/** Retries the conflicting keys until each has a final answer; returns those that a finished call still blocks after the timeout. */
const findStuckKeys = async (cluster: FailureCluster, name: string): Promise<string[]> => {
	let conflicting = conflictingKeys(cluster, name);
	const deadlineAtMs = performance.now() + recoveryMs;
	for (let attempt = 0; conflicting.length > 0 && performance.now() < deadlineAtMs; attempt++) {
		await delay(probePauseMs);
		await Promise.all(conflicting.map(async key => callThrough(cluster, {callId: `${key}-late-${attempt}`, target: booking(key), position: attempt})));
		conflicting = conflictingKeys(cluster, name);
	}

	return conflicting;
};

/** Returns the keys of this schedule whose last call was refused because of a conflict with another call. */
const conflictingKeys = ({history: {events}}: FailureCluster, name: string): string[] => {
	const keys = new Map(eventsOf(events, 'callStarted').filter(call => call.key?.includes(`-${name}-`) ?? false).map(call => [call.callId, call.key!]));
	const last = new Map<string, CallOutcome>();
	for (const {callId, outcome} of eventsOf(events, 'callEnded')) {
		const key = keys.get(callId);
		if (key !== undefined) {
			last.set(key, outcome);
		}
	}

	return [...last].filter(([, outcome]) => outcome.type === 'refused' && outcome.status === conflictStatus).map(([key]) => key);
};

/** Runs the faults of one schedule under traffic, and waits until the system has recovered. */
export const runSchedule = async (cluster: FailureCluster, schedule: Schedule): Promise<ScheduleRun> => {
	const startedAtMs = performance.now();
	const problems: Problems = {hangs: [], errors: []};
	const name = `s${schedule.number}`;
	const traffic = startTraffic(cluster, {name});
	await Promise.all(schedule.faults.map(async (fault, index) => runFault(cluster, fault, `${name}-f${index}`, problems)));
	await awaitWithTimeout('stopping the traffic', traffic.stop(), problems);
	cluster.links.heal();
	if (!await waitForRecovery(cluster, name)) {
		problems.hangs.push('the system did not recover');
	}

	for (const key of await findStuckKeys(cluster, name)) {
		problems.hangs.push(`a retry of ${key} is refused as in progress although no call is running`);
	}

	return {
		schedule, startedAtMs, endedAtMs: performance.now(), ...problems,
	};
};
