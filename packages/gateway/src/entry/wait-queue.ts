import type {WaitReason} from '@bitternpaddle/coordination';

/** Reasons for which waiting requests are counted. */
export type QueueReason = Exclude<WaitReason, 'moment'>;

/** Requests that wait for an endpoint; all of them check again at the same time. */
export type WaitQueue = {
	/** Counts a request as waiting for endpoints of the service; returns a function that ends the wait. */
	countWaiting(serviceName: string, reason: QueueReason): () => void;
	waitingCount(serviceName: string, reason: QueueReason): number;
	/** Resolves at the next check. */
	nextCheck(): Promise<void>;
	/** Lets all waiting requests check now. */
	checkNow(): void;
	count(): number;
};

/** Half the duration of an engine's batch pass; the spare capacity of endpoints does not change faster. */
const checkIntervalMs = 40;

export const createWaitQueue = (): WaitQueue => {
	let waiting: Array<() => void> = [];
	let timer: NodeJS.Timeout | null = null;
	const held: Record<QueueReason, Map<string, number>> = {engines: new Map(), availability: new Map()};
	const add = (serviceName: string, reason: QueueReason, count: number): void => {
		held[reason].set(serviceName, (held[reason].get(serviceName) ?? 0) + count);
	};

	const checkNow = (): void => {
		clearTimeout(timer ?? undefined);
		timer = null;
		const released = waiting;
		waiting = [];
		for (const release of released) {
			release();
		}
	};

	return {
		countWaiting(serviceName, reason) {
			add(serviceName, reason, 1);
			return () => {
				add(serviceName, reason, -1);
			};
		},
		waitingCount: (serviceName, reason) => held[reason].get(serviceName) ?? 0,
		nextCheck: async () => new Promise(resolve => {
			timer ??= setTimeout(checkNow, checkIntervalMs);
			waiting.push(resolve);
		}),
		checkNow,
		count: () => waiting.length,
	};
};
