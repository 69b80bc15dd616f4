/** Interval at which a process records that it runs. */
export const pauseTickMs = 50;
/** Gaps between records up to this long are usual on a busy host; a call that waited for less is still far from its caller's timeout. */
const maxGapMs = 150;
/** Time after a pause within which a received call may have waited in its socket during the pause. */
const backlogMs = 50;

/** The pauses of a process, in which calls waited in its sockets without being read. */
export type PauseRecord = {
	/** Records that the process runs; must be called every `pauseTickMs`. */
	tick(nowMs: number): void;
	/** The earliest time at which a call that is read now may have arrived. */
	arrivedAtMs(nowMs: number): number;
};

export const createPauseRecord = (startedAtMs: number): PauseRecord => {
	let tickedAtMs = startedAtMs;
	let pause = {startedAtMs: Number.NEGATIVE_INFINITY, endedAtMs: Number.NEGATIVE_INFINITY};
	const isBacklogged = (nowMs: number): boolean => nowMs - pause.endedAtMs < backlogMs;
	return {
		tick(nowMs) {
			if (nowMs - tickedAtMs > maxGapMs) {
				pause = {startedAtMs: isBacklogged(tickedAtMs) ? pause.startedAtMs : tickedAtMs, endedAtMs: nowMs};
			}

			tickedAtMs = nowMs;
		},
		arrivedAtMs(nowMs) {
			if (isBacklogged(nowMs)) {
				return pause.startedAtMs;
			}

			// The tick that ends the pause may run after the call is read.
			return nowMs - tickedAtMs > maxGapMs ? tickedAtMs : nowMs;
		},
	};
};
