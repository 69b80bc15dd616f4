import {
	createLimitReporter, type Logger, type Metrics, type OnLimit,
} from '@bitternpaddle/transport';

export type ListenerLimitReporterOptions = {readonly logger: Logger; readonly metrics?: Metrics};

/** Logs and counts the limits that the callers of a role meet. */
export const createListenerLimitReporter = (listener: string, {logger, metrics}: ListenerLimitReporterOptions): OnLimit => createLimitReporter({
	listener, logger,
	count(name, limit) {
		metrics?.increment('listener.limit', {listener: name, limit});
	},
});
