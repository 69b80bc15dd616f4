import {takeAttempt} from '@bitternpaddle/coordination';
import type {CallContext} from './call-context.js';
import type {Call} from './gateway-call.js';

/** Takes one further attempt from the service's retry budget; `false` if it is used up. */
export const chargeRetry = (context: CallContext, {requestId, service: {name}}: Call): boolean => {
	const {logger, metrics, nowMs} = context;
	const allowance = context.allowance(name);
	const isTaken = takeAttempt(allowance, context.retryReserve(), nowMs());
	metrics.count(isTaken ? 'retries' : 'retries_denied', isTaken ? 'Further attempts that were taken from the retry budget.' : 'Further attempts that the retry budget did not allow.');
	logger.event(isTaken ? 'BP4071' : 'BP4072', {
		requestId, service: name, usedCount: allowance.retryTimesMs.length, requestCount: allowance.requestTimesMs.length, entryCount: context.entryCount(),
	});
	return isTaken;
};
