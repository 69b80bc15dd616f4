import type {Endpoint} from '@bitternpaddle/coordination';
import {notRun, type UnansweredVerdict} from '@bitternpaddle/state';
import {nameOf, RefusedError, type Call} from './call.js';
import {dispatch, type AttemptOutcome} from './dispatch.js';
import type {Routing} from './routing.js';

export type AttemptsOptions = {
	readonly routing: Routing;
	readonly maxAttempts: number;
};

export type CallOutcome = AttemptOutcome & {readonly endpoint?: Endpoint};

/** Tries endpoints until one answers, or until trying again could run the request twice. */
export const attemptCall = async (call: Call, {routing, maxAttempts}: AttemptsOptions): Promise<CallOutcome> => {
	const tried = new Set<string>();
	let verdict: UnansweredVerdict = notRun('no endpoint is ready');
	for (let number = 1; number <= maxAttempts; number++) {
		const choice = routing.choose({target: call.target, tried});
		if (choice.type === 'unknownTarget') {
			throw new RefusedError({status: 404, type: 'not_found', message: `nothing serves ${nameOf(call.target)}`});
		}

		if (choice.type !== 'chosen') {
			break;
		}

		const {endpoint} = choice;
		tried.add(endpoint.hostId);
		routing.noteStart(endpoint.hostId);
		const outcome = await dispatch({
			...call, endpoint, number, revision: routing.revision(), signal: call.abort.signal,
			idleTimeoutMs: Math.max(1, call.deadlineAtMs - performance.now()),
		});
		if (outcome.type === 'answer') {
			noteEndWithCall(call, routing, endpoint);
			return {...outcome, endpoint};
		}

		routing.noteEnd(endpoint.hostId, outcome.verdict.type);
		({verdict} = outcome);
		if (verdict.type === 'mayHaveRun' || call.abort.signal.aborted) {
			break;
		}
	}

	return {type: 'verdict', verdict};
};

/** An answered attempt loads its endpoint until the caller has all of it. */
const noteEndWithCall = (call: Call, routing: Routing, endpoint: Endpoint): void => {
	if (call.response.closed) {
		routing.noteEnd(endpoint.hostId, 'answered');
		return;
	}

	call.response.once('close', () => {
		routing.noteEnd(endpoint.hostId, 'answered');
	});
};
