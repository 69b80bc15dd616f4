import FlatQueue from 'flatqueue';

/** Runs actions in the order of their virtual time; equal times in a fixed order. */
export type VirtualTime = {
	nowMs: number;
	at(atMs: number, action: () => void): void;
	/** Runs until `isDone` or nothing is left or `limitMs` is reached. */
	run(isDone: () => boolean, limitMs: number): void;
};

export const createVirtualTime = (): VirtualTime => {
	const queue = new FlatQueue<() => void>();
	const time: VirtualTime = {
		nowMs: 0,
		at(atMs, action) {
			queue.push(action, Math.max(atMs, time.nowMs));
		},
		run(isDone, limitMs) {
			while (!isDone()) {
				const atMs = queue.peekValue();
				if (atMs === undefined || atMs > limitMs) {
					return;
				}

				time.nowMs = atMs;
				queue.pop()!();
			}
		},
	};
	return time;
};
