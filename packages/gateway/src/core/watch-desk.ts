import type {WatchParameters, WatchResult} from '../link/methods.js';

export type WatchServiceOptions = {
	/** Builds the current result for a follower. */
	answer(parameters: WatchParameters): WatchResult;
	/** Whether that result has an update that should be sent before the long poll times out. */
	hasUpdate(parameters: WatchParameters): boolean;
};

export type WatchService = {
	/** Answers at once if there is an update, otherwise at the next update or after the requested wait. */
	watch(parameters: WatchParameters): Promise<WatchResult>;
	/** Answers the open polls for which a change brought an update. */
	wake(): void;
	/** Answers all open polls. */
	close(): void;
};

type OpenPoll = {readonly parameters: WatchParameters; release(): void};

/** Upper bound on the duration of a long poll, whatever wait the follower requests. */
const maxWaitMs = 4000;

export const createWatchService = ({answer, hasUpdate}: WatchServiceOptions): WatchService => {
	const openPolls = new Set<OpenPoll>();
	let isWakeScheduled = false;
	let isClosed = false;

	const releaseDue = (): void => {
		isWakeScheduled = false;
		for (const openPoll of openPolls) {
			if (isClosed || hasUpdate(openPoll.parameters)) {
				openPoll.release();
			}
		}
	};

	return {
		async watch(parameters) {
			if (parameters.waitMs > 0 && !isClosed && !hasUpdate(parameters)) {
				await new Promise<void>(resolve => {
					const openPoll: OpenPoll = {
						parameters,
						release() {
							clearTimeout(timer);
							openPolls.delete(openPoll);
							resolve();
						},
					};
					const timer = setTimeout(openPoll.release, Math.min(maxWaitMs, parameters.waitMs));
					openPolls.add(openPoll);
				});
			}

			return answer(parameters);
		},
		wake() {
			// All changes within one turn of the event loop are sent together.
			if (!isWakeScheduled) {
				isWakeScheduled = true;
				setImmediate(releaseDue);
			}
		},
		close() {
			isClosed = true;
			releaseDue();
		},
	};
};
