import type http from 'node:http';
import {
	adapterHeader, attemptHeader, deadlineHeader, formatIssue, idempotencyKeyHeader, incarnationHeader, issueHeader, onceHeader, requestIdHeader, revisionHeader, versionHeader,
} from '@bitternpaddle/protocol';
import type {Attempt} from './attempt.js';

/** Headers that the request gate needs before it may start a request. */
export const attemptHeadersOf = (attempt: Attempt): http.OutgoingHttpHeaders => ({
	'content-type': attempt.contentType,
	[requestIdHeader]: attempt.requestId,
	[attemptHeader]: attempt.attemptId,
	[issueHeader]: formatIssue(attempt.issue),
	[incarnationHeader]: attempt.endpoint.incarnation,
	[revisionHeader]: attempt.revision,
	...attempt.peers?.headers(),
	[deadlineHeader]: Math.max(1, Math.round(attempt.remainingMs)),
	...(attempt.endpoint.versionId === null ? {} : {[versionHeader]: attempt.endpoint.versionId}),
	...(typeof attempt.adapterTag === 'string' && {[adapterHeader]: attempt.adapterTag}),
	...(attempt.idempotencyKey === null ? {} : {[idempotencyKeyHeader]: attempt.idempotencyKey}),
	...(attempt.isOnce ? {[onceHeader]: 'true'} : {}),
});
