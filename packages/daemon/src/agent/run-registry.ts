import {causeToEnd, type EndCause, type RunLimits} from '@bitternpaddle/coordination';
import type {DoorRun} from './door-run.js';

export type RunRegistryOptions = {
	/** How often runs are looked at and waiting entries get a sign of life. */
	readonly tickMs: number;
	readonly limits: RunLimits;
	/** How long an ended answer can be read again. @default 15000 */
	readonly keptMs?: number;
	/** The same for a call that may not be repeated: its caller may come back through another entry. @default 120000 */
	readonly keptOnceMs?: number;
	/** Bytes of ended answers kept; the oldest go first. @default 8 MiB */
	readonly keptBytes?: number;
	onTick(): void;
};

/** The runs of this door, and the answers that can still be read again. */
export type RunRegistry = {
	get(attemptId: string): DoorRun | undefined;
	add(run: DoorRun): void;
	end(run: DoorRun, cause: EndCause | 'cancelled'): void;
	close(): void;
};

export const createRunRegistry = (options: RunRegistryOptions): RunRegistry => {
	const {tickMs, limits, keptMs = 15_000, keptOnceMs = 120_000, keptBytes = 8 * 1024 * 1024, onTick} = options;
	const runs = new Map<string, DoorRun>();

	const end = (run: DoorRun, cause: EndCause | 'cancelled'): void => {
		run.abort.abort(new Error(cause));
	};

	const isKept = (run: DoorRun, nowMs: number): boolean => run.endedAtMs === null || nowMs - run.endedAtMs < (run.isRepeatable ? keptMs : keptOnceMs);

	const forgetOld = (nowMs: number): void => {
		let heldBytes = 0;
		for (const run of [...runs.values()].toReversed()) {
			heldBytes += run.endedAtMs === null ? 0 : run.buffer.sizeBytes();
			if (!isKept(run, nowMs) || (run.endedAtMs !== null && heldBytes > keptBytes)) {
				runs.delete(run.attemptId);
			}
		}
	};

	const timer = setInterval(() => {
		const nowMs = performance.now();
		for (const run of runs.values()) {
			const cause = run.endedAtMs === null ? causeToEnd(run, limits, nowMs) : null;
			if (cause !== null) {
				end(run, cause);
			}
		}

		forgetOld(nowMs);
		onTick();
	}, tickMs);

	return {
		get: attemptId => runs.get(attemptId),
		add(run) {
			runs.set(run.attemptId, run);
		},
		end,
		close() {
			clearInterval(timer);
		},
	};
};
