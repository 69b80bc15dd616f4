import type {HostState} from './host-state.js';

/**
 * Start times of the requests in flight of all hosts, in one shared list. Indexes
 * are reused, so its length is bounded by the number of concurrent requests. With
 * one array per host, a rarely used host would allocate a new array per request.
 */
export type StartTimes = {
	readonly atMs: number[];
	/** Index of the next later start at the same host. */
	readonly next: number[];
	readonly free: number[];
};

export const createStartTimes = (): StartTimes => ({atMs: [], next: [], free: []});

const none = -1;

/** Records the start of a request at the host. */
export const pushStart = (starts: StartTimes, host: HostState, nowMs: number): void => {
	const index = starts.free.pop() ?? starts.atMs.length;
	starts.atMs[index] = nowMs;
	starts.next[index] = none;
	if (host.running === 0) {
		host.oldestStart = index;
	} else {
		starts.next[host.latestStart] = index;
	}

	host.latestStart = index;
	host.running++;
};

/** Records the end of a request at the host; which one is unknown, so the oldest start is removed. */
export const dropOldestStart = (starts: StartTimes, host: HostState): void => {
	if (host.running === 0) {
		return;
	}

	const index = host.oldestStart;
	host.oldestStart = starts.next[index]!;
	starts.free.push(index);
	host.running--;
};

/** Number of the host's requests in flight that had started by `untilMs`. */
export const countStartedBy = ({atMs, next}: StartTimes, host: HostState, untilMs: number): number => {
	let count = 0;
	let index = host.running === 0 ? none : host.oldestStart;
	for (; index !== none; index = next[index]!) {
		count += atMs[index]! <= untilMs ? 1 : 0;
	}

	return count;
};
