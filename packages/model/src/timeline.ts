import TinyQueue from 'tinyqueue';

type Event = {readonly atMs: number; readonly order: number; act(): void};

/** Virtual time: what is due runs in the order of its time, and of its entry where times are equal. */
export type Timeline = {
	nowMs(): number;
	at(atMs: number, act: () => void): void;
	after(delayMs: number, act: () => void): void;
	/** Runs all that is due until `untilMs`. */
	runUntil(untilMs: number): void;
};

export const createTimeline = (): Timeline => {
	const events = new TinyQueue<Event>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
	let order = 0;
	let nowMs = 0;
	const at = (atMs: number, act: () => void): void => {
		order++;
		events.push({atMs, order, act});
	};

	return {
		nowMs: () => nowMs,
		at,
		after(delayMs, act) {
			at(nowMs + delayMs, act);
		},
		runUntil(untilMs) {
			for (let next = events.peek(); next !== undefined && next.atMs <= untilMs; next = events.peek()) {
				events.pop();
				nowMs = next.atMs;
				next.act();
			}

			nowMs = untilMs;
		},
	};
};
