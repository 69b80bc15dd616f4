import {notRun, type NotRun, type UnansweredVerdict} from '@bitternpaddle/state';
import {match, P} from 'ts-pattern';
import {
	msUntilRetry, recordFirstAttempt, returnRetry, takeRetry, type RetryBudget,
} from '../admission/index.js';
import type {UnansweredCause} from './attempt.js';

/**
 * State machine of one call's attempts at endpoints, on the entry's side. Each
 * effect is carried out once and produces exactly one event, until `finish`.
 */
export type RetryState = {
	readonly options: Required<RetryOptions>;
	/** Hosts that used up an attempt. */
	readonly tried: Set<string>;
	hostId: string | null;
	/** Number of the current attempt; never reused. */
	number: number;
	/** Used attempts; one that is refused because the endpoint is full does not count. */
	attempts: number;
	/** A retry was taken from the budget and not sent yet. */
	hasReservedRetry: boolean;
	/** The connection to the last endpoint was lost rather than refused, so tried hosts may be retried if there is no other. */
	canRetryTriedHosts: boolean;
	isRetryingTriedHosts: boolean;
	/** The last attempt's proof that the call has not run so far. */
	lastNotRun: NotRun;
};

export type RetryOptions = {
	/** Retry budget shared by all calls of the entry. */
	readonly budget: RetryBudget;
	/** On the same clock as `nowMs`; no attempt starts at or after this time. */
	readonly deadlineAtMs: number;
	/** @default 3 */
	readonly maxAttempts?: number;
};

export type RetryEvent
	= | {readonly type: 'chosen'; readonly hostId: string}
	/** No endpoint outside `tried` serves the target. */
		| {readonly type: 'noEndpoint'}
	/** The call was refused while it waited in the queue. */
		| {readonly type: 'turnRefused'; readonly verdict: NotRun}
		| {readonly type: 'claimed'}
		| {readonly type: 'claimRefused'}
		| {readonly type: 'answered'}
		| {readonly type: 'unanswered'; readonly cause: UnansweredCause; readonly verdict: UnansweredVerdict};

export type RetryEffect
	/** Choose an endpoint, and wait in the queue while all are full. */
	= | {readonly type: 'choose'; readonly tried: ReadonlySet<string>}
	/** Return the call to its former queue position, then proceed as for `choose`. */
		| {readonly type: 'requeue'; readonly tried: ReadonlySet<string>}
	/** Record the destination in the replicated log if the call is not repeatable. */
		| {readonly type: 'claim'; readonly number: number}
		| {readonly type: 'dispatch'; readonly number: number}
		| {readonly type: 'finish'; readonly end: RetryEnd};

export type RetryEnd
	= | {readonly type: 'answered'}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict}
	/** The claim was refused; the component that refused it has the reason. */
		| {readonly type: 'stopped'};

const noTriedHosts: ReadonlySet<string> = new Set();

export const createRetry = ({maxAttempts = 3, ...options}: RetryOptions): RetryState => ({
	options: {maxAttempts, ...options}, tried: new Set(), hostId: null, number: 0, attempts: 0, hasReservedRetry: false, canRetryTriedHosts: false, isRetryingTriedHosts: false,
	lastNotRun: notRun('no endpoint is ready'),
});

/** Returns the call's first effect and records the first attempt in the budget. */
export const beginRetry = ({options: {budget}}: RetryState): RetryEffect => {
	recordFirstAttempt(budget);
	return {type: 'choose', tried: noTriedHosts};
};

export const stepRetry = (state: RetryState, event: RetryEvent, nowMs: number): RetryEffect => match(event)
	.returnType<RetryEffect>()
	.with({type: 'chosen'}, ({hostId}) => {
		state.hostId = hostId;
		state.number++;
		return finishIfPastDeadline(state, nowMs) ?? {type: 'claim', number: state.number};
	})
	.with({type: 'noEndpoint'}, () => {
		if (!state.canRetryTriedHosts || state.isRetryingTriedHosts) {
			return giveUp(state, state.lastNotRun);
		}

		state.isRetryingTriedHosts = true;
		return {type: 'choose', tried: noTriedHosts};
	})
	.with({type: 'turnRefused'}, ({verdict}) => giveUp(state, verdict))
	// A claim requires a log write, during which the deadline may pass.
	.with({type: 'claimed'}, () => finishIfPastDeadline(state, nowMs) ?? dispatch(state))
	.with({type: 'claimRefused'}, () => finish(state, {type: 'stopped'}))
	.with({type: 'answered'}, () => finish(state, {type: 'answered'}))
	.with({type: 'unanswered', verdict: {type: 'mayHaveRun'}}, ({verdict}) => finish(state, {type: 'verdict', verdict}))
	.with({type: 'unanswered', verdict: {type: 'notRun'}}, ({cause, verdict}) => {
		state.lastNotRun = verdict;
		return afterNotRun(state, cause, nowMs);
	})
	.exhaustive();

const afterNotRun = (state: RetryState, cause: UnansweredCause, nowMs: number): RetryEffect => match(cause)
	.with('doorFull', () => requeue(state, nowMs))
	.with(P.union('refused', 'lost'), () => {
		state.tried.add(state.hostId!);
		state.canRetryTriedHosts = cause === 'lost';
		return retry(state, nowMs);
	})
	.with('givenUp', () => giveUp(state, state.lastNotRun))
	.exhaustive();

/**
 * The endpoint had no spare slots because another entry was faster. This is not a
 * failure, and three in a row would end a call whose target is merely busy, so it
 * does not use up an attempt. The call returns to the queue instead of trying the
 * next endpoint: the queue holds it until an endpoint reports a spare slot, so
 * full endpoints are not tried in a loop.
 */
const requeue = (state: RetryState, nowMs: number): RetryEffect => {
	state.attempts--;
	state.hasReservedRetry = state.attempts > 0;
	state.isRetryingTriedHosts = false;
	return finishIfPastDeadline(state, nowMs) ?? {type: 'requeue', tried: state.tried};
};

const retry = (state: RetryState, nowMs: number): RetryEffect => {
	const {budget, maxAttempts} = state.options;
	const deadlineEffect = finishIfPastDeadline(state, nowMs);
	if (deadlineEffect !== null || state.attempts >= maxAttempts) {
		return deadlineEffect ?? giveUp(state, state.lastNotRun);
	}

	if (!takeRetry(budget, nowMs)) {
		return giveUp(state, notRun(`${state.lastNotRun.reason}; too many requests are being retried`, msUntilRetry(budget)));
	}

	state.hasReservedRetry = true;
	state.isRetryingTriedHosts = false;
	return {type: 'choose', tried: state.tried};
};

const dispatch = (state: RetryState): RetryEffect => {
	state.attempts++;
	state.hasReservedRetry = false;
	return {type: 'dispatch', number: state.number};
};

/** Ends the call if its deadline has passed; `null` otherwise. */
const finishIfPastDeadline = (state: RetryState, nowMs: number): RetryEffect | null => nowMs < state.options.deadlineAtMs
	? null
	: giveUp(state, notRun('the deadline passed'));

const giveUp = (state: RetryState, verdict: NotRun): RetryEffect => finish(state, {type: 'verdict', verdict});

const finish = (state: RetryState, end: RetryEnd): RetryEffect => {
	if (state.hasReservedRetry) {
		state.hasReservedRetry = false;
		returnRetry(state.options.budget);
	}

	return {type: 'finish', end};
};
