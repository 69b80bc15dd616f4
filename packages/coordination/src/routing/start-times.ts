import type {HostState} from './host-state.js';

/**
 * When each request in flight started, of all hosts in one list: places are
 * used again, so it stays as short as there are requests. An array for each
 * host would be made and thrown away with every request of a seldom used host.
 */
export type StartTimes = {
	readonly atMs: number[];
	/** The next later start at the same host. */
	readonly next: number[];
	readonly free: number[];
};

export const createStartTimes = (): StartTimes => ({atMs: [], next: [], free: []});

const none = -1;

/** A request starts at the host. */
export const pushStart = (starts: StartTimes, host: HostState, nowMs: number): void => {
	const place = starts.free.pop() ?? starts.atMs.length;
	starts.atMs[place] = nowMs;
	starts.next[place] = none;
	if (host.running === 0) {
		host.oldestStart = place;
	} else {
		starts.next[host.latestStart] = place;
	}

	host.latestStart = place;
	host.running++;
};

/** A request ends at the host; which one is not known, so the oldest is taken off. */
export const dropOldestStart = (starts: StartTimes, host: HostState): void => {
	if (host.running === 0) {
		return;
	}

	const place = host.oldestStart;
	host.oldestStart = starts.next[place]!;
	starts.free.push(place);
	host.running--;
};

/** How many of the host's requests in flight had started by then. */
export const countStartedBy = ({atMs, next}: StartTimes, host: HostState, untilMs: number): number => {
	let count = 0;
	let place = host.running === 0 ? none : host.oldestStart;
	for (; place !== none; place = next[place]!) {
		count += atMs[place]! <= untilMs ? 1 : 0;
	}

	return count;
};
