import {setTimeout as delay} from 'node:timers/promises';
import {failureTeamKey, type FailureCluster} from '@bitternpaddle/daemon';
import {recordCall, type CallOutcome, type CallTarget} from '@bitternpaddle/test-support';

export type Traffic = {
	/** Resolves when the calls in flight have finished. */
	stop(): Promise<void>;
};

export type TrafficOptions = {
	/** Distinguishes the calls of one cluster's schedules. */
	readonly name: string;
	/** @default 3 */
	readonly callers?: number;
	/** @default 15 */
	readonly pauseMs?: number;
};

const maxResends = 2;
const resendPauseMs = 50;

/** Returns the entries that are running; the load balancer in front of the entries excludes the others. */
export const runningEntries = (cluster: FailureCluster): Array<{entryId: string; address: string}> => cluster.entries.flatMap(entry => {
	const node = entry.node();
	return node === undefined ? [] : [{entryId: entry.nodeId, address: node.address}];
});

export type CallOptions = {readonly callId: string; readonly target: CallTarget; readonly position: number};

/** Makes one call through one of the running entries; `null` if none is running. */
export const callThrough = async (cluster: FailureCluster, {callId, target, position}: CallOptions): Promise<CallOutcome | null> => {
	const entries = runningEntries(cluster);
	const entry = entries[position % Math.max(1, entries.length)];
	return entry === undefined
		? null
		: recordCall({
			...entry, history: cluster.history, callId, target, token: failureTeamKey,
		});
};

export const booking = (key: string): CallTarget => ({type: 'service', serviceId: 'ledger', key});

/** Retries a booking through the other entry until an answer confirms that it has run, at most `maxResends` times. */
const sendBooking = async (cluster: FailureCluster, key: string, position: number): Promise<void> => {
	for (let resend = 0; resend <= maxResends; resend++) {
		const outcome = await callThrough(cluster, {callId: `${key}-${resend}`, target: booking(key), position: position + resend});
		if (outcome?.type === 'answered') {
			return;
		}

		await delay(resendPauseMs);
	}
};

/** Starts callers that send one call after another: every third call is a booking, the others are streamed or complete model answers. */
export const startTraffic = (cluster: FailureCluster, {name, callers = 3, pauseMs = 15}: TrafficOptions): Traffic => {
	let isStopping = false;
	const isRunning = (): boolean => !isStopping;
	const callerLoops = Array.from({length: callers}, async (_, caller) => {
		for (let number = 0; isRunning(); number++) {
			const callId = `${name}-${caller}-${number}`;
			if ((number + caller) % 3 === 0) {
				await sendBooking(cluster, `key-${callId}`, number);
			} else {
				await callThrough(cluster, {
					callId, position: number, target: {
						type: 'model', modelId: 'pitch-desk', isStream: number % 2 === 0, maxTokens: 4,
					},
				});
			}

			await delay(pauseMs);
		}
	});
	return {
		async stop() {
			isStopping = true;
			await Promise.all(callerLoops);
		},
	};
};
