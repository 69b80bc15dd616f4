import type {WatchParameters, WatchResult} from '../link/methods.js';

export type WatchDeskOptions = {
	/** What the follower would be told now. */
	answer(parameters: WatchParameters): WatchResult;
	/** Whether that is worth telling before the follower asks again by itself. */
	isNews(parameters: WatchParameters): boolean;
};

export type WatchDesk = {
	/** Answers at once if there is news, or when there is, or after the wait that was asked for. */
	watch(parameters: WatchParameters): Promise<WatchResult>;
	/** Something changed: whoever waits for it is answered. */
	wake(): void;
	/** Answers all. */
	close(): void;
};

type Waiting = {readonly parameters: WatchParameters; release(): void};

/** A follower may not keep a question open for longer, whatever it asks. */
const longestWaitMs = 4000;

export const createWatchDesk = ({answer, isNews}: WatchDeskOptions): WatchDesk => {
	const waiting = new Set<Waiting>();
	let isWaking = false;
	let isClosed = false;

	const releaseDue = (): void => {
		isWaking = false;
		for (const waiter of waiting) {
			if (isClosed || isNews(waiter.parameters)) {
				waiter.release();
			}
		}
	};

	return {
		async watch(parameters) {
			if (parameters.waitMs > 0 && !isClosed && !isNews(parameters)) {
				await new Promise<void>(resolve => {
					const waiter: Waiting = {
						parameters,
						release() {
							clearTimeout(timer);
							waiting.delete(waiter);
							resolve();
						},
					};
					const timer = setTimeout(waiter.release, Math.min(longestWaitMs, parameters.waitMs));
					waiting.add(waiter);
				});
			}

			return answer(parameters);
		},
		wake() {
			// All changes of one turn are told together.
			if (!isWaking) {
				isWaking = true;
				setImmediate(releaseDue);
			}
		},
		close() {
			isClosed = true;
			releaseDue();
		},
	};
};
