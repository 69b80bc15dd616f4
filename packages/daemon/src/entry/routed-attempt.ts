import {
	recordEnd, recordFirstByte, recordLoadReport, recordStart, type Endpoint, type RequestOutcome, type RouterState,
} from '@bitternpaddle/coordination';
import {loadHeader} from '@bitternpaddle/protocol';
import {match} from 'ts-pattern';
import type {RoutedAttempt, RoutedEnd} from './routing.js';

export type RoutedAttemptOptions = {
	readonly router: RouterState;
	readonly endpoint: Endpoint;
	/** Called when the endpoint begins to answer. */
	onBegin(): void;
	onEnd(): void;
};

/** Reports one attempt to the router: its start immediately, then its first byte and its end. */
export const createRoutedAttempt = ({router, endpoint: {hostId}, onBegin, onEnd}: RoutedAttemptOptions): RoutedAttempt => {
	const startedAtMs = performance.now();
	let latencyMs: number | null = null;
	let hasEnded = false;
	recordStart(router, hostId, startedAtMs);

	const outcomeOf = (end: RoutedEnd): RequestOutcome => match(end)
		.returnType<RequestOutcome>()
		.with('answered', () => ({type: 'answered', latencyMs: latencyMs ?? performance.now() - startedAtMs}))
		.with('refused', () => ({type: 'full'}))
		.with('failed', () => ({type: 'failed'}))
		.with('abandoned', () => ({type: 'cancelled'}))
		.exhaustive();

	return {
		begin(headers) {
			const nowMs = performance.now();
			latencyMs = nowMs - startedAtMs;
			recordFirstByte(router, hostId, nowMs);
			onBegin();
			const running = Number(headers[loadHeader]);
			if (Number.isInteger(running)) {
				recordLoadReport(router, hostId, {running, ageMs: 0}, nowMs);
			}
		},
		end(end) {
			if (hasEnded) {
				return;
			}

			hasEnded = true;
			recordEnd(router, hostId, {outcome: outcomeOf(end), hadFirstByte: latencyMs !== null}, performance.now());
			onEnd();
		},
	};
};
