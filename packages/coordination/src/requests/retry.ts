import {notRun, type NotRun, type UnansweredVerdict} from '@bitternpaddle/state';
import {match, P} from 'ts-pattern';
import {
	msUntilRetry, noteFreshRequest, returnRetry, takeRetry, type RetryBudget,
} from '../admission/index.js';
import type {UnansweredCause} from './attempt.js';

/**
 * One call's attempts at endpoints, as the entry sees them. Each effect is
 * carried out once and brings exactly one event, until `finish`.
 */
export type RetryState = {
	readonly options: Required<RetryOptions>;
	/** Hosts that an attempt was spent on. */
	readonly tried: Set<string>;
	hostId: string | null;
	/** Of the attempt that is being made; none is used twice. */
	number: number;
	/** Attempts spent; one at a full door is not. */
	attempts: number;
	/** Taken from the budget and not spent yet. */
	holdsRetry: boolean;
	/** The last endpoint was lost rather than refusing, so it may be asked again when there is no other. */
	mayReturn: boolean;
	isReturning: boolean;
	/** The proof that nothing has run so far. */
	last: NotRun;
};

export type RetryOptions = {
	/** Shared by all calls of the entry. */
	readonly budget: RetryBudget;
	/** On the clock of `nowMs`; no attempt begins then or later. */
	readonly deadlineAtMs: number;
	/** @default 3 */
	readonly maxAttempts?: number;
};

export type RetryEvent
	= | {readonly type: 'chosen'; readonly hostId: string}
	/** Nothing that is not in `tried` serves the target. */
		| {readonly type: 'noEndpoint'}
	/** The call waited in the queue, and its turn will not come. */
		| {readonly type: 'turnRefused'; readonly verdict: NotRun}
		| {readonly type: 'claimed'}
		| {readonly type: 'claimRefused'}
		| {readonly type: 'answered'}
		| {readonly type: 'unanswered'; readonly cause: UnansweredCause; readonly verdict: UnansweredVerdict};

export type RetryEffect
	/** Choose an endpoint, and wait in the queue while all are full. */
	= | {readonly type: 'choose'; readonly tried: ReadonlySet<string>}
	/** Back to the call's place in the queue, then as `choose`. */
		| {readonly type: 'requeue'; readonly tried: ReadonlySet<string>}
	/** Write down where the call goes, if it may not be repeated. */
		| {readonly type: 'claim'; readonly number: number}
		| {readonly type: 'dispatch'; readonly number: number}
		| {readonly type: 'finish'; readonly end: RetryEnd};

export type RetryEnd
	= | {readonly type: 'answered'}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict}
	/** The claim was refused; whoever refused it knows why. */
		| {readonly type: 'stopped'};

const nothingTried: ReadonlySet<string> = new Set();

export const createRetry = ({maxAttempts = 3, ...options}: RetryOptions): RetryState => ({
	options: {maxAttempts, ...options}, tried: new Set(), hostId: null, number: 0, attempts: 0, holdsRetry: false, mayReturn: false, isReturning: false,
	last: notRun('no endpoint is ready'),
});

/** The call's first effect; counts the call as a fresh one. */
export const beginRetry = ({options: {budget}}: RetryState): RetryEffect => {
	noteFreshRequest(budget);
	return {type: 'choose', tried: nothingTried};
};

export const stepRetry = (state: RetryState, event: RetryEvent, nowMs: number): RetryEffect => match(event)
	.returnType<RetryEffect>()
	.with({type: 'chosen'}, ({hostId}) => {
		state.hostId = hostId;
		state.number++;
		return beforeDeadline(state, nowMs) ?? {type: 'claim', number: state.number};
	})
	.with({type: 'noEndpoint'}, () => {
		if (!state.mayReturn || state.isReturning) {
			return giveUp(state, state.last);
		}

		state.isReturning = true;
		return {type: 'choose', tried: nothingTried};
	})
	.with({type: 'turnRefused'}, ({verdict}) => giveUp(state, verdict))
	// A claim takes a write to the log, which may outlast the deadline.
	.with({type: 'claimed'}, () => beforeDeadline(state, nowMs) ?? dispatch(state))
	.with({type: 'claimRefused'}, () => finish(state, {type: 'stopped'}))
	.with({type: 'answered'}, () => finish(state, {type: 'answered'}))
	.with({type: 'unanswered', verdict: {type: 'mayHaveRun'}}, ({verdict}) => finish(state, {type: 'verdict', verdict}))
	.with({type: 'unanswered', verdict: {type: 'notRun'}}, ({cause, verdict}) => {
		state.last = verdict;
		return afterNotRun(state, cause, nowMs);
	})
	.exhaustive();

const afterNotRun = (state: RetryState, cause: UnansweredCause, nowMs: number): RetryEffect => match(cause)
	.with('doorFull', () => requeue(state, nowMs))
	.with(P.union('refused', 'lost'), () => {
		state.tried.add(state.hostId!);
		state.mayReturn = cause === 'lost';
		return retry(state, nowMs);
	})
	.with('givenUp', () => giveUp(state, state.last))
	.exhaustive();

/**
 * The door had no room: another entry was faster. That is no fault, and three
 * of them in a row would end a call whose target is merely busy. So it costs
 * no attempt, but the call goes back to the queue instead of to the next
 * endpoint: the queue holds it until an endpoint is heard to have room, so full
 * doors are not asked in a loop.
 */
const requeue = (state: RetryState, nowMs: number): RetryEffect => {
	state.attempts--;
	state.holdsRetry = state.attempts > 0;
	state.isReturning = false;
	return beforeDeadline(state, nowMs) ?? {type: 'requeue', tried: state.tried};
};

const retry = (state: RetryState, nowMs: number): RetryEffect => {
	const {budget, maxAttempts} = state.options;
	const late = beforeDeadline(state, nowMs);
	if (late !== null || state.attempts >= maxAttempts) {
		return late ?? giveUp(state, state.last);
	}

	if (!takeRetry(budget, nowMs)) {
		return giveUp(state, notRun(`${state.last.reason}; too many requests are being retried`, msUntilRetry(budget)));
	}

	state.holdsRetry = true;
	state.isReturning = false;
	return {type: 'choose', tried: state.tried};
};

const dispatch = (state: RetryState): RetryEffect => {
	state.attempts++;
	state.holdsRetry = false;
	return {type: 'dispatch', number: state.number};
};

/** `null` while there is time; ends the call otherwise. */
const beforeDeadline = (state: RetryState, nowMs: number): RetryEffect | null => nowMs < state.options.deadlineAtMs
	? null
	: giveUp(state, notRun('the deadline passed'));

const giveUp = (state: RetryState, verdict: NotRun): RetryEffect => finish(state, {type: 'verdict', verdict});

const finish = (state: RetryState, end: RetryEnd): RetryEffect => {
	if (state.holdsRetry) {
		state.holdsRetry = false;
		returnRetry(state.options.budget);
	}

	return {type: 'finish', end};
};
