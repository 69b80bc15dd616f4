/** Interval at which a process records that it runs. */
export const pauseTickMs = 50;
/** Gaps between records up to this long are usual on a busy host; a call that waited for less is still far from its caller's timeout. */
const maxGapMs = 150;
/**
 * Number of records after a pause within which a received call may have waited in its
 * socket during the pause: its connection is accepted in one turn of the event loop and
 * its data read in the next, and each record is made in another turn.
 */
const backlogTicks = 3;

/** The pauses of a process, in which calls waited in its sockets without being read. */
export type PauseRecord = {
	/** Records that the process runs; must be called every `pauseTickMs`. */
	tick(nowMs: number): void;
	/** The earliest time at which a call that is read now may have arrived. */
	arrivedAtMs(nowMs: number): number;
};

export const createPauseRecord = (startedAtMs: number): PauseRecord => {
	let tickedAtMs = startedAtMs;
	let ticksSincePause = backlogTicks;
	/** When the latest pause began. */
	let pausedAtMs = startedAtMs;
	/** When the earliest pause began that a call may have waited for: the latest or, if it followed closely, the one before. A host that pauses all the time must still accept orders, so no more than two add up. */
	let waitingSinceMs = startedAtMs;

	return {
		tick(nowMs) {
			if (nowMs - tickedAtMs > maxGapMs) {
				waitingSinceMs = ticksSincePause < backlogTicks ? pausedAtMs : tickedAtMs;
				pausedAtMs = tickedAtMs;
				ticksSincePause = 0;
			} else {
				ticksSincePause++;
			}

			tickedAtMs = nowMs;
		},
		arrivedAtMs(nowMs) {
			if (ticksSincePause < backlogTicks) {
				return waitingSinceMs;
			}

			// The tick that ends the pause may run after the call is read.
			return nowMs - tickedAtMs > maxGapMs ? tickedAtMs : nowMs;
		},
	};
};
