import {terminationCause, type TerminationCause, type RunLimits} from '@bitternpaddle/coordination';
import type {EndpointRun} from './endpoint-run.js';

export type RunRegistryOptions = {
	/** How often runs are checked and `onTick` is called, which sends keep-alives to waiting entries. */
	readonly tickMs: number;
	readonly limits: RunLimits;
	/** How long an answer can be reread after it has ended. @default 15000 */
	readonly retentionMs?: number;
	/** The same for a call that may not be repeated, whose caller may retry through another entry. @default 120000 */
	readonly nonRepeatableRetentionMs?: number;
	/** Maximum bytes of ended answers; the oldest are evicted first. @default 8 MiB */
	readonly maxRetainedBytes?: number;
	onTick(): void;
};

/** The runs of this request gate, and the ended answers that can still be reread. */
export type RunRegistry = {
	get(attemptId: string): EndpointRun | undefined;
	add(run: EndpointRun): void;
	terminate(run: EndpointRun, cause: TerminationCause | 'cancelled'): void;
	close(): void;
};

export const createRunRegistry = (options: RunRegistryOptions): RunRegistry => {
	const {tickMs, limits, retentionMs = 15_000, nonRepeatableRetentionMs = 120_000, maxRetainedBytes = 8 * 1024 * 1024, onTick} = options;
	const runs = new Map<string, EndpointRun>();

	const terminate = (run: EndpointRun, cause: TerminationCause | 'cancelled'): void => {
		run.abort.abort(new Error(cause));
	};

	const isRetained = (run: EndpointRun, nowMs: number): boolean => run.endedAtMs === null || nowMs - run.endedAtMs < (run.isRepeatable ? retentionMs : nonRepeatableRetentionMs);

	const evictExpired = (nowMs: number): void => {
		let retainedBytes = 0;
		for (const run of [...runs.values()].toReversed()) {
			retainedBytes += run.endedAtMs === null ? 0 : run.buffer.sizeBytes();
			if (!isRetained(run, nowMs) || (run.endedAtMs !== null && retainedBytes > maxRetainedBytes)) {
				runs.delete(run.attemptId);
			}
		}
	};

	const timer = setInterval(() => {
		const nowMs = performance.now();
		for (const run of runs.values()) {
			const cause = run.endedAtMs === null ? terminationCause(run, limits, nowMs) : null;
			if (cause !== null) {
				terminate(run, cause);
			}
		}

		evictExpired(nowMs);
		onTick();
	}, tickMs);

	return {
		get: attemptId => runs.get(attemptId),
		add(run) {
			runs.set(run.attemptId, run);
		},
		terminate,
		close() {
			clearInterval(timer);
		},
	};
};
