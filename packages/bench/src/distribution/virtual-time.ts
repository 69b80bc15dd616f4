import TinyQueue from 'tinyqueue';

/** Runs scheduled actions in the order of their virtual time, and actions with equal times in insertion order. */
export type VirtualTime = {
	nowMs: number;
	at(atMs: number, action: () => void): void;
	/** Runs until `isDone` returns true, no action is left or `limitMs` is reached. */
	run(isDone: () => boolean, limitMs: number): void;
};

type Scheduled = {readonly atMs: number; readonly order: number; readonly action: () => void};

export const createVirtualTime = (): VirtualTime => {
	const queue = new TinyQueue<Scheduled>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
	let order = 0;
	const time: VirtualTime = {
		nowMs: 0,
		at(atMs, action) {
			queue.push({atMs: Math.max(atMs, time.nowMs), order: order++, action});
		},
		run(isDone, limitMs) {
			while (!isDone()) {
				const next = queue.peek();
				if (next === undefined || next.atMs > limitMs) {
					return;
				}

				queue.pop();
				time.nowMs = next.atMs;
				next.action();
			}
		},
	};
	return time;
};
