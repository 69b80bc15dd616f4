import {
	noteFreshRequest, takeRetry, type Endpoint, type RetryBudget,
} from '@bitternpaddle/coordination';
import type {Issue} from '@bitternpaddle/protocol';
import {
	hostIdSchema, notRun, type ClaimPlace, type UnansweredVerdict,
} from '@bitternpaddle/state';
import type {FailingHosts} from '../host/failing-hosts.js';
import type {Peers} from '../host/peers.js';
import {nameOf, RefusedError, type Call} from './call.js';
import {dispatch, type AttemptAnswer} from './dispatch.js';
import type {FleetOutcomes} from './fleet-outcomes.js';
import type {RoutedAttempt, Routing} from './routing.js';

export type AttemptsOptions = {
	readonly routing: Routing;
	readonly maxAttempts: number;
	readonly budget: RetryBudget;
	/** See `Attempt.suspectMs`. */
	readonly suspectMs: number;
	nextIssue(): Issue;
	/** What an answer to the call must be tagged with beside the version; `null` for the base alone. */
	readonly adapterTagOf?: (call: Call, endpoint: Endpoint) => string | null;
	readonly peers?: Peers;
	readonly failing?: FailingHosts;
	readonly outcomes?: FleetOutcomes;
	/** Asked before each dispatch; `false` stops without another attempt. */
	readonly mayDispatch?: (place: ClaimPlace) => Promise<boolean>;
};

export type CallOutcome
	= | {readonly type: 'answer'; readonly answer: AttemptAnswer; readonly place: ClaimPlace}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict; readonly place: ClaimPlace | null}
	/** `mayDispatch` said no. */
		| {readonly type: 'stopped'};

/** Tries endpoints until one answers, or until trying again could run the request twice. */
export const attemptCall = async (call: Call, options: AttemptsOptions): Promise<CallOutcome> => {
	const deadline = armDeadline(call);
	noteFreshRequest(options.budget);
	let outcome: CallOutcome;
	try {
		outcome = await attemptInTurn(call, options);
	} catch (error) {
		deadline.clear();
		throw error;
	}

	if (outcome.type === 'answer') {
		deadline.extend();
	} else {
		deadline.clear();
	}

	return outcome;
};

const attemptInTurn = async (call: Call, options: AttemptsOptions): Promise<CallOutcome> => {
	const {routing, maxAttempts, mayDispatch, nextIssue} = options;
	const tried = new Set<string>();
	let last: {readonly verdict: UnansweredVerdict; readonly place: ClaimPlace | null} = {verdict: notRun('no endpoint is ready'), place: null};
	let mayReturn = false;
	for (let number = 1; number <= maxAttempts; number++) {
		const endpoint = await chooseFor(call, routing, tried, mayReturn);
		if (endpoint === null || (number > 1 && !takeRetry(options.budget, performance.now()))) {
			break;
		}

		tried.add(endpoint.hostId);
		const place = placeOf(endpoint, `${call.requestId}.${number}`, nextIssue());
		if (mayDispatch !== undefined && !await mayDispatch(place)) {
			return {type: 'stopped'};
		}

		const routed = routing.start(call, endpoint);
		const attempted = await call.trace.attempt(endpoint, number, async () => dispatch({
			...call, ...place, endpoint, adapterTag: options.adapterTagOf?.(call, endpoint) ?? null,
			revision: routing.revision(), signal: call.abort.signal, suspectMs: options.suspectMs, peers: options.peers,
			remainingMs: call.endAtMs - performance.now(),
		}));
		const outcome = options.outcomes?.watch(endpoint.fleetId, attempted) ?? attempted;
		options.failing?.note(endpoint.hostId, outcome.type === 'answer' || outcome.isRefusal);
		if (outcome.type === 'answer') {
			routed.begin(outcome.answer.headers);
			endWithCall(call, routed);
			return {...outcome, place};
		}

		routed.end(call.abort.signal.aborted ? 'abandoned' : (outcome.isRefusal ? 'refused' : 'failed'));
		last = {verdict: outcome.verdict, place};
		mayReturn = !outcome.isRefusal;
		if (outcome.verdict.type === 'mayHaveRun' || call.abort.signal.aborted) {
			break;
		}
	}

	return {type: 'verdict', ...last};
};

/**
 * An endpoint that this call has not tried; if there is none and the last one
 * did not refuse but lost the connection, one that it has.
 */
const chooseFor = async (call: Call, routing: Routing, tried: ReadonlySet<string>, mayReturn: boolean): Promise<Endpoint | null> => {
	const choice = await routing.choose(call, tried);
	if (choice.type === 'unknownTarget') {
		throw new RefusedError({status: 404, type: 'not_found', message: `nothing serves ${nameOf(call.target)}`});
	}

	if (choice.type === 'chosen') {
		return choice.endpoint;
	}

	const again = mayReturn ? await routing.choose(call, new Set()) : choice;
	return again.type === 'chosen' ? again.endpoint : null;
};

const placeOf = ({hostId, address, incarnation}: Endpoint, attemptId: string, issue: Issue): ClaimPlace => ({
	hostId: hostIdSchema.parse(hostId), address, incarnation, attemptId, issue,
});

/** An answered attempt loads its endpoint until the caller has all of it. */
const endWithCall = (call: Call, routed: RoutedAttempt): void => {
	if (call.response.closed) {
		routed.end('answered');
		return;
	}

	call.response.once('close', () => {
		routed.end('answered');
	});
};

/** Gives the call up at its deadline; once the answer has begun, at its end. */
const armDeadline = ({abort, deadlineAtMs, endAtMs, response}: Call) => {
	const giveUpAt = (atMs: number): NodeJS.Timeout => setTimeout(() => {
		abort.abort('deadline');
	}, Math.max(0, atMs - performance.now()));
	let timer = giveUpAt(deadlineAtMs);
	return {
		extend(): void {
			clearTimeout(timer);
			if (!response.closed) {
				timer = giveUpAt(endAtMs);
				response.once('close', () => {
					clearTimeout(timer);
				});
			}
		},
		clear(): void {
			clearTimeout(timer);
		},
	};
};
