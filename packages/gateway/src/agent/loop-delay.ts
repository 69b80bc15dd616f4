/**
 * Measures by how much the event loop of this process is late: the processor is busy with
 * other processes, or with other work of this one. That time is part of every duration
 * measured meanwhile.
 */
export type LoopDelay = {
	/** Starts to measure, if it is not running. */
	start(): void;
	stop(): void;
	/** Time by which the event loop was late since `sinceMs`, as far as it was measured. */
	totalSinceMs(sinceMs: number): number;
};

type Delay = {readonly endedAtMs: number; readonly lateMs: number};

const intervalMs = 10;
/** Covers the longest fetches: a fetch that takes longer is slow in any case. */
const historyMs = 10_000;

export const createLoopDelay = (): LoopDelay => {
	let delays: Delay[] = [];
	let observedAtMs = 0;
	let timer: NodeJS.Timeout | null = null;

	const latenessMs = (nowMs: number): number => timer === null ? 0 : Math.max(0, nowMs - observedAtMs - intervalMs);

	const observe = (): void => {
		const nowMs = performance.now();
		const lateMs = latenessMs(nowMs);
		observedAtMs = nowMs;
		if (lateMs > 0) {
			delays.push({endedAtMs: nowMs, lateMs});
		}

		if (delays.length > 0 && delays[0]!.endedAtMs < nowMs - historyMs) {
			delays = delays.filter(({endedAtMs}) => endedAtMs >= nowMs - historyMs);
		}
	};

	return {
		start() {
			if (timer === null) {
				observedAtMs = performance.now();
				timer = setInterval(observe, intervalMs);
			}
		},
		stop() {
			clearInterval(timer ?? undefined);
			timer = null;
		},
		totalSinceMs(sinceMs) {
			const nowMs = performance.now();
			return [...delays, {endedAtMs: nowMs, lateMs: latenessMs(nowMs)}]
				.reduce((totalMs, {endedAtMs, lateMs}) => totalMs + Math.min(lateMs, Math.max(0, endedAtMs - sinceMs)), 0);
		},
	};
};
