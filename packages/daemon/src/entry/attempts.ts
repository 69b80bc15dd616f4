import {
	beginRetry, createRetry, stepRetry, type Endpoint, type RetryBudget, type RetryEffect, type RetryEvent, type UnansweredCause,
} from '@bitternpaddle/coordination';
import type {Issue} from '@bitternpaddle/protocol';
import {
	hostIdSchema, notRun, type ClaimPlace, type UnansweredVerdict,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import type {FailingHosts} from '../host/failing-hosts.js';
import type {Peers} from '../host/peers.js';
import {RefusedError, type Call} from './call.js';
import {nameOf} from './target-names.js';
import {dispatch, type AttemptAnswer} from './dispatch.js';
import type {FleetOutcomes} from './fleet-outcomes.js';
import {refusalOf, type RequestQuarantine} from './request-quarantine.js';
import {watchForCrash} from './watch-for-crash.js';
import type {
	RoutedAttempt, RoutedEnd, Routing, Turn,
} from './routing.js';

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
	/** Requests that end the endpoints that run them. */
	readonly quarantine?: RequestQuarantine;
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

/** Carries out the effects of the call's retry decisions. */
const attemptInTurn = async (call: Call, options: AttemptsOptions): Promise<CallOutcome> => {
	const state = createRetry({budget: options.budget, maxAttempts: options.maxAttempts, deadlineAtMs: call.deadlineAtMs});
	const tries: Tries = {
		call, options, endpoint: null, place: null, answer: null,
	};
	let effect = beginRetry(state);
	while (effect.type !== 'finish') {
		effect = stepRetry(state, await carryOut(tries, effect), performance.now());
	}

	return match(effect.end)
		.returnType<CallOutcome>()
		.with({type: 'answered'}, () => ({type: 'answer', answer: tries.answer!, place: tries.place!}))
		.with({type: 'verdict'}, ({verdict}) => ({type: 'verdict', verdict, place: tries.place}))
		.with({type: 'stopped'}, end => end)
		.exhaustive();
};

/** What has come of the effects so far. */
type Tries = {
	readonly call: Call;
	readonly options: AttemptsOptions;
	endpoint: Endpoint | null;
	/** Where the last attempt goes, or went. */
	place: ClaimPlace | null;
	answer: AttemptAnswer | null;
};

const carryOut = async (tries: Tries, effect: Exclude<RetryEffect, {type: 'finish'}>): Promise<RetryEvent> => {
	const {call, options: {routing}} = tries;
	return match(effect)
		.with({type: 'choose'}, async ({tried}) => takeTurn(tries, await routing.choose(call, tried)))
		.with({type: 'requeue'}, async ({tried}) => takeTurn(tries, await routing.requeue(call, tried)))
		.with({type: 'claim'}, async ({number}) => claim(tries, number))
		.with({type: 'dispatch'}, async ({number}) => dispatchTo(tries, number))
		.exhaustive();
};

const takeTurn = (tries: Tries, turn: Turn): RetryEvent => match(turn)
	.returnType<RetryEvent>()
	.with({type: 'chosen'}, ({endpoint}) => {
		tries.endpoint = endpoint;
		return {type: 'chosen', hostId: endpoint.hostId};
	})
	.with({type: 'noEndpoint'}, () => ({type: 'noEndpoint'}))
	.with({type: 'busy'}, () => ({type: 'turnRefused', verdict: notRun('all that serves the target is full')}))
	.with({type: 'refused'}, ({verdict}) => ({type: 'turnRefused', verdict}))
	.with({type: 'unknownTarget'}, () => {
		throw new RefusedError({status: 404, type: 'not_found', message: `nothing serves ${nameOf(tries.call.target)}`});
	})
	.exhaustive();

const claim = async (tries: Tries, number: number): Promise<RetryEvent> => {
	const {call, options: {mayDispatch, nextIssue, quarantine}, endpoint} = tries;
	const verdict = quarantine?.verdictOn(call) ?? null;
	if (verdict !== null) {
		throw refusalOf(verdict);
	}

	const place = placeOf(endpoint!, `${call.requestId}.${number}`, nextIssue());
	if (mayDispatch !== undefined && !await mayDispatch(place)) {
		return {type: 'claimRefused'};
	}

	tries.place = place;
	return {type: 'claimed'};
};

const dispatchTo = async (tries: Tries, number: number): Promise<RetryEvent> => {
	const {call, options} = tries;
	const endpoint = tries.endpoint!;
	const routed = options.routing.start(call, endpoint);
	const attempted = await call.trace.attempt(endpoint, number, async () => dispatch({
		...call, ...tries.place!, endpoint, adapterTag: options.adapterTagOf?.(call, endpoint) ?? null,
		revision: options.routing.revision(), signal: call.abort.signal, suspectMs: options.suspectMs, peers: options.peers,
		remainingMs: call.endAtMs - performance.now(),
	}));
	const counted = options.outcomes?.watch(endpoint.fleetId, attempted) ?? attempted;
	const outcome = options.quarantine === undefined
		? counted
		: watchForCrash(counted, {
			onEnded(stage) {
				options.quarantine!.noteEnded(call, endpoint.hostId, stage);
			},
			onWhole() {
				options.quarantine!.noteCompleted(call);
			},
		});
	if (outcome.type === 'answer') {
		options.failing?.note(endpoint.hostId, true);
		routed.begin(outcome.answer.headers);
		endWithCall(call, routed);
		tries.answer = outcome.answer;
		return {type: 'answered'};
	}

	const {cause, verdict} = outcome;
	options.failing?.note(endpoint.hostId, isRefusal(cause));
	routed.end(endOf(cause));
	return {type: 'unanswered', cause, verdict};
};

const isRefusal = (cause: UnansweredCause): boolean => cause === 'doorFull' || cause === 'refused';

const endOf = (cause: UnansweredCause): RoutedEnd => match(cause)
	.returnType<RoutedEnd>()
	.with('doorFull', 'refused', () => 'refused')
	.with('lost', () => 'failed')
	.with('givenUp', () => 'abandoned')
	.exhaustive();

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
