import TinyQueue from 'tinyqueue';

type Event = {readonly atMs: number; readonly order: number; callback(): void};

/** Virtual clock: events run in the order of their time; events at the same time run in the order in which they were scheduled. */
export type Timeline = {
	nowMs(): number;
	at(atMs: number, callback: () => void): void;
	after(delayMs: number, callback: () => void): void;
	/** Runs all events up to and including `untilMs`. */
	runUntil(untilMs: number): void;
};

export const createTimeline = (): Timeline => {
	const events = new TinyQueue<Event>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
	let order = 0;
	let nowMs = 0;
	const at = (atMs: number, callback: () => void): void => {
		order++;
		events.push({atMs, order, callback});
	};

	return {
		nowMs: () => nowMs,
		at,
		after(delayMs, callback) {
			at(nowMs + delayMs, callback);
		},
		runUntil(untilMs) {
			for (let next = events.peek(); next !== undefined && next.atMs <= untilMs; next = events.peek()) {
				events.pop();
				nowMs = next.atMs;
				next.callback();
			}

			nowMs = untilMs;
		},
	};
};
