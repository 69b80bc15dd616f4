import type {Logger} from '../logging/index.js';
import type {LimitName, OnLimit} from './overload.js';

export type LimitReporterOptions = {
	/** Name of the listener in log lines and metrics. */
	readonly listener: string;
	readonly logger: Logger;
	/** Counts a limit that was met. */
	count(listener: string, limit: LimitName): void;
	/** @default performance.now */
	readonly nowMs?: () => number;
};

/** A crowd meets a limit thousands of times a second. */
const lineIntervalMs = 1000;

/** Counts each limit that is met, and logs it at most once a second with the number of times since its last line. */
export const createLimitReporter = ({listener, logger, count, nowMs = () => performance.now()}: LimitReporterOptions): OnLimit => {
	const lines = new Map<LimitName, {loggedAtMs: number; times: number}>();
	return (limit, remoteAddress) => {
		count(listener, limit);
		const line = lines.get(limit) ?? {loggedAtMs: Number.NEGATIVE_INFINITY, times: 0};
		lines.set(limit, line);
		line.times++;
		const now = nowMs();
		if (now - line.loggedAtMs < lineIntervalMs) {
			return;
		}

		logger.event('BP9004', {
			listener, limit, times: line.times, remoteAddress,
		});
		line.loggedAtMs = now;
		line.times = 0;
	};
};
