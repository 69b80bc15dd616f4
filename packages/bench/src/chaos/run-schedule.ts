import {setTimeout as delay} from 'node:timers/promises';
import type {FailureCluster} from '@bitternpaddle/daemon';
import {eventsOf, type CallOutcome} from '@bitternpaddle/test-support';
import {beginFault, type ActiveFault} from './faults.js';
import type {PlannedFault, Schedule} from './schedule.js';
import {booking, callThrough, startTraffic} from './traffic.js';

/** How one schedule went, apart from what the history says. */
export type ScheduleRun = {
	readonly schedule: Schedule;
	readonly startedAtMs: number;
	readonly endedAtMs: number;
	/** What did not end, or did not come back, in time. */
	readonly hangs: readonly string[];
	readonly errors: readonly string[];
};

const recoveryMs = 15_000;
const hangMs = 15_000;
const probePauseMs = 50;

type Problems = {readonly hangs: string[]; readonly errors: string[]};

/** Waits for `work`, but not for ever; a hang is told, not thrown. */
const within = async (what: string, work: Promise<unknown>, {hangs, errors}: Problems): Promise<void> => {
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
	await within(`${kind} begins`, (async () => {
		active = await beginFault({
			cluster, fault, name, touch(nodeIds) {
				history.record({
					type: 'faultStarted', faultId: name, kind, nodeIds,
				});
			},
		});
	})(), problems);
	await delay(fault.durationMs);
	if (active !== undefined) {
		await within(`${kind} is taken back`, active.undo(), problems);
		await within(`${kind} ends what it started`, active.done, problems);
	}

	history.record({type: 'faultEnded', faultId: name});
};

/** Whether both entries serve the model and the ledger again. */
const recover = async (cluster: FailureCluster, name: string): Promise<boolean> => {
	const endAtMs = performance.now() + recoveryMs;
	for (let attempt = 0; performance.now() < endAtMs; attempt++) {
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

/** Keys whose callers are still held off by a call that has ended; resent until each has a final answer. */
const findStuckKeys = async (cluster: FailureCluster, name: string): Promise<string[]> => {
	let open = conflictingKeys(cluster, name);
	const endAtMs = performance.now() + recoveryMs;
	for (let attempt = 0; open.length > 0 && performance.now() < endAtMs; attempt++) {
		await delay(probePauseMs);
		await Promise.all(open.map(async key => callThrough(cluster, {callId: `${key}-late-${attempt}`, target: booking(key), position: attempt})));
		open = conflictingKeys(cluster, name);
	}

	return open;
};

/** Keys of this schedule whose last call was refused because of another one. */
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

/** Runs the faults of one schedule under traffic, and waits until the system serves as before. */
export const runSchedule = async (cluster: FailureCluster, schedule: Schedule): Promise<ScheduleRun> => {
	const startedAtMs = performance.now();
	const problems: Problems = {hangs: [], errors: []};
	const name = `s${schedule.number}`;
	const traffic = startTraffic(cluster, {name});
	await Promise.all(schedule.faults.map(async (fault, index) => runFault(cluster, fault, `${name}-f${index}`, problems)));
	await within('traffic ends', traffic.stop(), problems);
	cluster.links.heal();
	if (!await recover(cluster, name)) {
		problems.hangs.push('the system does not serve again');
	}

	for (const key of await findStuckKeys(cluster, name)) {
		problems.hangs.push(`a resend of ${key} is told "in progress" although nothing is`);
	}

	return {
		schedule, startedAtMs, endedAtMs: performance.now(), ...problems,
	};
};
