import {
	compareWaitPlaces, unrankedPlace, type WaitPlace, type WaitReason,
} from '@bitternpaddle/coordination';

/** Reasons for which waiting requests are counted. */
export type QueueReason = Exclude<WaitReason, 'moment' | 'capacity'>;

/** Requests that wait for an endpoint; all of them check again at the same time, in the order of their places. */
export type WaitQueue = {
	/** Counts a request as waiting for endpoints of the service; returns a function that ends the wait. */
	countWaiting(serviceName: string, reason: QueueReason): () => void;
	waitingCount(serviceName: string, reason: QueueReason): number;
	/** Counts a request as waiting for capacity of the service; returns a function that ends the wait. */
	joinCapacity(serviceName: string, place: WaitPlace): () => void;
	/** Requests that wait for capacity of the service and that a request at `place` must not overtake. */
	capacityAheadCount(serviceName: string, place: WaitPlace): number;
	/** Resolves at the next check; requests without a place are checked first. */
	nextCheck(place?: WaitPlace): Promise<void>;
	/** Makes all waiting requests check again at once, in order. */
	checkNow(): void;
	count(): number;
};

/** Half the duration of an engine's batch pass; the spare capacity of endpoints does not change faster. */
const checkIntervalMs = 40;
/** Minimum interval between two checks; each arrival that waits its turn asks for one, and each checks all waiting requests. */
const minCheckIntervalMs = 10;

export const createWaitQueue = (): WaitQueue => {
	let waiting: Array<{readonly place: WaitPlace; readonly release: () => void}> = [];
	const forCapacity = new Map<string, Set<WaitPlace>>();
	const held: Record<QueueReason, Map<string, number>> = {engines: new Map(), availability: new Map()};
	let timer: NodeJS.Timeout | null = null;
	let checkedAtMs = Number.NEGATIVE_INFINITY;
	let isCheckScheduled = false;
	const check = (): void => {
		clearTimeout(timer ?? undefined);
		timer = null;
		checkedAtMs = performance.now();
		const released = waiting.toSorted((a, b) => compareWaitPlaces(a.place, b.place));
		waiting = [];
		for (const {release} of released) {
			release();
		}
	};

	const add = (serviceName: string, reason: QueueReason, count: number): void => {
		held[reason].set(serviceName, (held[reason].get(serviceName) ?? 0) + count);
	};

	return {
		countWaiting(serviceName, reason) {
			add(serviceName, reason, 1);
			return () => {
				add(serviceName, reason, -1);
			};
		},
		waitingCount: (serviceName, reason) => held[reason].get(serviceName) ?? 0,
		joinCapacity(serviceName, place) {
			const places = forCapacity.get(serviceName) ?? new Set();
			forCapacity.set(serviceName, places);
			places.add(place);
			return () => {
				places.delete(place);
			};
		},
		capacityAheadCount(serviceName, place) {
			let count = 0;
			for (const other of forCapacity.get(serviceName) ?? []) {
				if (other !== place && other.rank <= place.rank) {
					count++;
				}
			}

			return count;
		},
		nextCheck: async (place = unrankedPlace) => new Promise(resolve => {
			timer ??= setTimeout(check, checkIntervalMs);
			waiting.push({place, release: resolve});
		}),
		checkNow() {
			// After the current tick, so that the request whose arrival caused it waits in its place.
			if (isCheckScheduled) {
				return;
			}

			isCheckScheduled = true;
			const run = (): void => {
				isCheckScheduled = false;
				check();
			};

			const remainingMs = checkedAtMs + minCheckIntervalMs - performance.now();
			if (remainingMs > 0) {
				setTimeout(run, remainingMs);
			} else {
				setImmediate(run);
			}
		},
		count: () => waiting.length,
	};
};
