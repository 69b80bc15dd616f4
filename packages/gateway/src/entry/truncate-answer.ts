import type http from 'node:http';
import {cutConnection} from '@bitternpaddle/transport';
import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';

/**
 * Why a caller received only a part of an answer. `attempt`: the attempt failed, and no
 * other one may be made. `mismatch`: the endpoint that should resume the stream sent
 * something else. `shutdown`: the grace period ended. `unread`: the caller did not read, and
 * others needed the memory.
 */
export type TruncationCause = 'attempt' | 'deadline' | 'mismatch' | 'quarantine' | 'shutdown' | 'unread';

export type TruncatedAnswer = {
	readonly requestId: string;
	readonly response: http.ServerResponse;
	readonly cause: TruncationCause;
	readonly reason: string;
	/** `null` if the answer is not known to be in progress at an endpoint. */
	readonly progress: CallProgress | null;
};

/** Records that an answer is about to be truncated. */
export const recordTruncation = ({metrics, logger, sinceStopMs}: Pick<CallContext, 'metrics' | 'logger' | 'sinceStopMs'>, {requestId, response, cause, reason, progress}: TruncatedAnswer): void => {
	metrics.truncated(cause);
	logger.event('BP4048', {
		requestId, cause, reason, lastReason: progress?.lastReason, writtenBytes: progress?.writtenBytes, lastEventId: progress?.lastEventId,
		isEndpointAtWork: progress?.isEndpointAtWork, unsentBytes: response.writableLength, sinceStopMs: sinceStopMs(),
	});
};

/** Closes the caller's connection in the middle of an answer. */
export const truncateAnswer = (context: Pick<CallContext, 'metrics' | 'logger' | 'sinceStopMs'>, answer: TruncatedAnswer): void => {
	recordTruncation(context, answer);
	cutConnection(answer.response);
};
