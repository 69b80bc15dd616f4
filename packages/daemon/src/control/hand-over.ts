import {setTimeout as delay} from 'node:timers/promises';
import type {ConsensusDriver} from './consensus-driver.js';

export type HandOverOptions = {
	readonly driver: ConsensusDriver;
	/** Abandons the transfer after this long; longer than an ordinary election takes, in which this host's vote may be needed. @default 2000 */
	readonly timeoutMs?: number;
};

/** Result of the leadership transfer of a stopping host. */
export type HandOverResult
	= | {readonly type: 'handedOver'; readonly leaderId: string; readonly tookMs: number}
	/** This host is not the leader, or it is the only voter. */
		| {readonly type: 'nothingToDo'}
		| {readonly type: 'failed'};

const pollIntervalMs = 5;

/** Transfers the leadership and waits until another host leads. */
export const handOverLeadership = async ({driver, timeoutMs = 2000}: HandOverOptions): Promise<HandOverResult> => {
	const {state} = driver;
	if (state.role !== 'leader' || state.members.voters.length < 2) {
		return {type: 'nothingToDo'};
	}

	const startedAtMs = performance.now();
	driver.transferLeadership();
	while (performance.now() < startedAtMs + timeoutMs) {
		await delay(pollIntervalMs);
		const {role, leaderId, transferStartedAtMs} = driver.state;
		if (role === 'follower' && leaderId !== null) {
			return {type: 'handedOver', leaderId, tookMs: Math.round(performance.now() - startedAtMs)};
		}

		if (role === 'leader' && transferStartedAtMs === null) {
			// No voter caught up in time.
			return {type: 'failed'};
		}
	}

	return {type: 'failed'};
};
