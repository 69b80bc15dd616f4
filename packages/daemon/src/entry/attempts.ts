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
import {targetNameOf} from './target-names.js';
import {dispatch, type AttemptAnswer} from './dispatch.js';
import type {FleetOutcomes} from './fleet-outcomes.js';
import {refusalOf, type RequestQuarantine} from './request-quarantine.js';
import {watchForCrash} from './watch-for-crash.js';
import type {
	RoutedAttempt, RoutedEnd, Routing, RoutingResult,
} from './routing.js';

export type AttemptsOptions = {
	readonly routing: Routing;
	readonly maxAttempts: number;
	readonly budget: RetryBudget;
	/** See `Attempt.suspectMs`. */
	readonly suspectMs: number;
	nextIssue(): Issue;
	/** The adapter tag that an answer to the call must carry in addition to its version; `null` for the base model alone. */
	readonly adapterTagOf?: (call: Call, endpoint: Endpoint) => string | null;
	readonly peers?: Peers;
	readonly failing?: FailingHosts;
	readonly outcomes?: FleetOutcomes;
	/** Quarantine of requests that crash the endpoints that run them. */
	readonly quarantine?: RequestQuarantine;
	/** Called before each dispatch; `false` stops without another attempt. */
	readonly mayDispatch?: (place: ClaimPlace) => Promise<boolean>;
};

export type CallOutcome
	= | {readonly type: 'answer'; readonly answer: AttemptAnswer; readonly place: ClaimPlace}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict; readonly place: ClaimPlace | null}
	/** `mayDispatch` returned `false`. */
		| {readonly type: 'stopped'};

/** Tries endpoints until one answers, or until another attempt could run the request twice. */
export const attemptCall = async (call: Call, options: AttemptsOptions): Promise<CallOutcome> => {
	const deadline = startDeadlineTimer(call);
	let outcome: CallOutcome;
	try {
		outcome = await runAttempts(call, options);
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

/** Performs the effects of the call's retry state machine. */
const runAttempts = async (call: Call, options: AttemptsOptions): Promise<CallOutcome> => {
	const state = createRetry({budget: options.budget, maxAttempts: options.maxAttempts, deadlineAtMs: call.deadlineAtMs});
	const progress: AttemptProgress = {
		call, options, endpoint: null, place: null, answer: null,
	};
	let effect = beginRetry(state);
	while (effect.type !== 'finish') {
		effect = stepRetry(state, await performEffect(progress, effect), performance.now());
	}

	return match(effect.end)
		.returnType<CallOutcome>()
		.with({type: 'answered'}, () => ({type: 'answer', answer: progress.answer!, place: progress.place!}))
		.with({type: 'verdict'}, ({verdict}) => ({type: 'verdict', verdict, place: progress.place}))
		.with({type: 'stopped'}, end => end)
		.exhaustive();
};

/** Results of the effects performed so far. */
type AttemptProgress = {
	readonly call: Call;
	readonly options: AttemptsOptions;
	endpoint: Endpoint | null;
	/** Target of the last attempt. */
	place: ClaimPlace | null;
	answer: AttemptAnswer | null;
};

const performEffect = async (progress: AttemptProgress, effect: Exclude<RetryEffect, {type: 'finish'}>): Promise<RetryEvent> => {
	const {call, options: {routing}} = progress;
	return match(effect)
		.with({type: 'choose'}, async ({tried}) => applyRoutingResult(progress, await routing.choose(call, tried)))
		.with({type: 'requeue'}, async ({tried}) => applyRoutingResult(progress, await routing.requeue(call, tried)))
		.with({type: 'claim'}, async ({number}) => claim(progress, number))
		.with({type: 'dispatch'}, async ({number}) => dispatchTo(progress, number))
		.exhaustive();
};

const applyRoutingResult = (progress: AttemptProgress, result: RoutingResult): RetryEvent => match(result)
	.returnType<RetryEvent>()
	.with({type: 'chosen'}, ({endpoint}) => {
		progress.endpoint = endpoint;
		return {type: 'chosen', hostId: endpoint.hostId};
	})
	.with({type: 'noEndpoint'}, () => ({type: 'noEndpoint'}))
	.with({type: 'busy'}, () => ({type: 'turnRefused', verdict: notRun('every endpoint that serves the target is full')}))
	.with({type: 'refused'}, ({verdict}) => ({type: 'turnRefused', verdict}))
	.with({type: 'unknownTarget'}, () => {
		throw new RefusedError({status: 404, type: 'not_found', message: `nothing serves ${targetNameOf(progress.call.target)}`});
	})
	.exhaustive();

const claim = async (progress: AttemptProgress, number: number): Promise<RetryEvent> => {
	const {call, options: {mayDispatch, nextIssue, quarantine}, endpoint} = progress;
	const verdict = quarantine?.verdictOn(call) ?? null;
	if (verdict !== null) {
		throw refusalOf(verdict);
	}

	const place = placeOf(endpoint!, `${call.requestId}.${number}`, nextIssue());
	if (mayDispatch !== undefined && !await mayDispatch(place)) {
		return {type: 'claimRefused'};
	}

	progress.place = place;
	return {type: 'claimed'};
};

const dispatchTo = async (progress: AttemptProgress, number: number): Promise<RetryEvent> => {
	const {call, options} = progress;
	const endpoint = progress.endpoint!;
	const routed = options.routing.start(call, endpoint);
	const attempted = await call.trace.attempt(endpoint, number, async () => dispatch({
		...call, ...progress.place!, endpoint, adapterTag: options.adapterTagOf?.(call, endpoint) ?? null,
		revision: options.routing.revision(), signal: call.abort.signal, suspectMs: options.suspectMs, peers: options.peers,
		remainingMs: call.endAtMs - performance.now(),
	}));
	const counted = options.outcomes?.watch(endpoint.fleetId, attempted) ?? attempted;
	const outcome = options.quarantine === undefined
		? counted
		: watchForCrash(counted, {
			onEndpointExit(stage, answeringMs) {
				options.quarantine!.recordEndpointExit(call, endpoint.hostId, stage, answeringMs);
			},
			onComplete(status) {
				options.quarantine!.recordCompletion(call, status);
			},
		});
	if (outcome.type === 'answer') {
		options.failing?.recordAttempt(endpoint.hostId, true);
		routed.begin(outcome.answer.headers);
		endOnResponseClose(call, routed);
		progress.answer = outcome.answer;
		return {type: 'answered'};
	}

	const {cause, verdict} = outcome;
	options.failing?.recordAttempt(endpoint.hostId, isRefusal(cause));
	routed.end(routedEndOf(cause));
	return {type: 'unanswered', cause, verdict};
};

const isRefusal = (cause: UnansweredCause): boolean => cause === 'doorFull' || cause === 'refused';

const routedEndOf = (cause: UnansweredCause): RoutedEnd => match(cause)
	.returnType<RoutedEnd>()
	.with('doorFull', 'refused', () => 'refused')
	.with('lost', () => 'failed')
	.with('givenUp', () => 'abandoned')
	.exhaustive();

const placeOf = ({hostId, address, incarnation}: Endpoint, attemptId: string, issue: Issue): ClaimPlace => ({
	hostId: hostIdSchema.parse(hostId), address, incarnation, attemptId, issue,
});

/** An answered attempt counts as load on its endpoint until the caller has received the complete answer. */
const endOnResponseClose = (call: Call, routed: RoutedAttempt): void => {
	if (call.response.closed) {
		routed.end('answered');
		return;
	}

	call.response.once('close', () => {
		routed.end('answered');
	});
};

/** Aborts the call at its deadline or, once the answer has begun, at the time by which it must have ended. */
const startDeadlineTimer = ({abort, deadlineAtMs, endAtMs, response}: Call) => {
	const abortAt = (atMs: number): NodeJS.Timeout => setTimeout(() => {
		abort.abort('deadline');
	}, Math.max(0, atMs - performance.now()));
	let timer = abortAt(deadlineAtMs);
	return {
		extend(): void {
			clearTimeout(timer);
			if (!response.closed) {
				timer = abortAt(endAtMs);
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
