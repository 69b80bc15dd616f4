import type http from 'node:http';
import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';

/**
 * Why an answer was ended after its caller had received a part of it. `attempt`: its
 * attempt failed, and no other one may be made. `mismatch`: another endpoint did not
 * resume it. `shutdown`: the grace period ended.
 */
export type CutCause = 'attempt' | 'deadline' | 'mismatch' | 'quarantine' | 'shutdown';

export type CutAnswer = {
	readonly requestId: string;
	readonly response: http.ServerResponse;
	readonly cause: CutCause;
	readonly reason: string;
	/** `null` if the answer is not known to be in progress at an endpoint. */
	readonly progress: CallProgress | null;
};

/** Records that an answer is about to be cut. */
export const recordCut = ({metrics, logger, sinceStopMs}: Pick<CallContext, 'metrics' | 'logger' | 'sinceStopMs'>, {requestId, response, cause, reason, progress}: CutAnswer): void => {
	metrics.cut(cause);
	logger.event('BP4048', {
		requestId, cause, reason, lastReason: progress?.lastReason, writtenBytes: progress?.writtenBytes, lastEventId: progress?.lastEventId,
		isEndpointAtWork: progress?.isEndpointAtWork, unsentBytes: response.writableLength, sinceStopMs: sinceStopMs(),
	});
};

/** Closes the caller's connection in the middle of an answer. */
export const cutAnswer = (context: Pick<CallContext, 'metrics' | 'logger' | 'sinceStopMs'>, cut: CutAnswer): void => {
	recordCut(context, cut);
	cut.response.destroy();
};
