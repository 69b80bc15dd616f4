import {
	mayHaveRun, notRun, type ClaimOutcome, type ClaimPlace, type ClaimState, type CommandResult, type UnansweredVerdict,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';

/**
 * A call that may not be repeated, as the entry sees it: first the claim in the
 * replicated log, then the attempts, then the outcome. Each effect is carried
 * out once and brings exactly one event, until `finish`; `attempt` brings a
 * `placed` before each dispatch and `attempted` at its end.
 */
export type ClaimedCallState = {
	readonly options: Required<ClaimedCallOptions>;
	round: number;
	/** The key is this request's. */
	isClaimed: boolean;
	/** Why an attempt was not allowed. */
	refusal: string | null;
	/** The claim that was in the way. */
	held: HeldClaim | null;
	/** What the call ends with if no earlier one is found; there was no endpoint to claim for. */
	unplaced: UnansweredVerdict | null;
	/** What follows the conclusion that is being written. */
	next: ClaimedCallEffect | null;
};

export type ClaimedCallOptions = {
	readonly requestId: string;
	/** Claims that are tried for: one that was barred is free again, but another resend may be faster. @default 3 */
	readonly maxRounds?: number;
	/** Larger answers are passed on but not kept for resends. @default 65536 */
	readonly keptAnswerBytes?: number;
};

export type HeldClaim = Extract<CommandResult, {type: 'claimHeld'}>;

/** An answer as the log keeps it. */
export type ClaimAnswer = {
	readonly status: number;
	readonly contentType: string;
	/** In base64. */
	readonly body: string;
	readonly sizeBytes: number;
};

/** What became of a claimed call whose entry does not say. */
export type FoundOutcome
	= | {readonly type: 'notRun'}
		| {readonly type: 'running'}
		| {readonly type: 'ran'; readonly answer: ClaimAnswer}
	/** `isForGood`: the agent that knew is gone and will not come back. */
		| {readonly type: 'lost'; readonly isForGood: boolean};

export type ClaimedCallEvent
	/** An attempt is about to go there. */
	= | {readonly type: 'placed'; readonly place: ClaimPlace}
		| {readonly type: 'proposed'; readonly result: CommandResult}
	/** It may have been written or not. */
		| {readonly type: 'proposalFailed'; readonly reason: string}
		| {readonly type: 'attempted'; readonly end: AttemptedEnd}
		| {readonly type: 'found'; readonly found: FoundOutcome}
	/** Written, or given up on. */
		| {readonly type: 'concluded'};

export type AttemptedEnd
	/** `answer` is `null` if it was not whole. */
	= | {readonly type: 'answered'; readonly place: ClaimPlace; readonly answer: ClaimAnswer | null}
	/** `place` is `null` if no attempt went anywhere. */
		| {readonly type: 'verdict'; readonly place: ClaimPlace | null; readonly verdict: UnansweredVerdict}
		| {readonly type: 'stopped'};

export type ClaimedCallEffect
	= | {readonly type: 'attempt'}
		| {readonly type: 'claim'; readonly place: ClaimPlace | null}
		| {readonly type: 'move'; readonly place: ClaimPlace}
	/** The attempt that is placed may begin, or may not. */
		| {readonly type: 'dispatch'}
		| {readonly type: 'stop'}
	/** Ask the door that the held claim went to; bar the call there if it has not started. */
		| {readonly type: 'settle'; readonly place: ClaimPlace | null; readonly requestId: string}
		| {readonly type: 'conclude'; readonly requestId: string; readonly attemptId: string | null; readonly outcome: ClaimOutcome | {readonly type: 'notRun'}}
		| {readonly type: 'finish'; readonly reply: ClaimedCallReply};

export type ClaimedCallReply
	= | {readonly type: 'verdict'; readonly verdict: UnansweredVerdict}
	/** The answer of this call's own attempt. */
		| {readonly type: 'answer'}
	/** What is known of the call that has the key. */
		| {readonly type: 'held'; readonly state: ClaimState | {readonly type: 'differentBody'}};

export const createClaimedCall = ({maxRounds = 3, keptAnswerBytes = 65_536, ...options}: ClaimedCallOptions): ClaimedCallState => ({
	options: {maxRounds, keptAnswerBytes, ...options}, round: 1, isClaimed: false, refusal: null, held: null, unplaced: null, next: null,
});

export const firstClaimedCallEffect: ClaimedCallEffect = {type: 'attempt'};

export const stepClaimedCall = (state: ClaimedCallState, event: ClaimedCallEvent): ClaimedCallEffect => match(event)
	.returnType<ClaimedCallEffect>()
	// A retry elsewhere is written down before it is sent: a resend would ask
	// the wrong door, learn "not run" there, and run the call a second time.
	.with({type: 'placed'}, ({place}) => ({type: state.isClaimed ? 'move' : 'claim', place}))
	.with({type: 'proposed'}, ({result}) => state.unplaced === null ? takeClaim(state, result) : takeEarlier(state, result))
	.with({type: 'proposalFailed'}, ({reason}) => {
		if (state.unplaced !== null) {
			return endUnplaced(state, state.unplaced);
		}

		state.refusal = `the call could not be claimed: ${reason}`;
		return {type: 'stop'};
	})
	.with({type: 'attempted'}, ({end}) => takeEnd(state, end))
	.with({type: 'found'}, ({found}) => takeFound(state, state.held!, found))
	.with({type: 'concluded'}, () => state.next!)
	.exhaustive();

const takeClaim = (state: ClaimedCallState, result: CommandResult): ClaimedCallEffect => {
	if (result.type === 'claimHeld') {
		state.held = result;
		return {type: 'stop'};
	}

	if (result.type === 'refused') {
		state.refusal = result.message;
		return {type: 'stop'};
	}

	state.isClaimed = true;
	return {type: 'dispatch'};
};

const takeEnd = (state: ClaimedCallState, end: AttemptedEnd): ClaimedCallEffect => match(end)
	.returnType<ClaimedCallEffect>()
	.with({type: 'stopped'}, () => state.held === null
		? finishWith(notRun(state.refusal ?? 'the call could not be claimed'))
		: serveHeld(state.held))
	.with({type: 'verdict', place: null}, ({verdict}) => {
		// No endpoint is ready, but an earlier call with this key may have an outcome.
		state.unplaced = verdict;
		return {type: 'claim', place: null};
	})
	.with({type: 'verdict'}, ({verdict, place}) => verdict.type === 'notRun'
		? conclude(state, {requestId: state.options.requestId, attemptId: place!.attemptId, outcome: {type: 'notRun'}}, finishWith(verdict))
		// The claim stays in progress: a resend asks the door, which may know more by then.
		: finishWith(verdict))
	.with({type: 'answered', answer: null}, () => finishWith(mayHaveRun('the answer was not whole')))
	.with({type: 'answered'}, ({answer, place}) => conclude(
		state,
		{requestId: state.options.requestId, attemptId: place.attemptId, outcome: outcomeOf(state, answer!)},
		{type: 'finish', reply: {type: 'answer'}},
	))
	.exhaustive();

const takeEarlier = (state: ClaimedCallState, result: CommandResult): ClaimedCallEffect => {
	if (result.type === 'claimHeld') {
		state.held = result;
		return serveHeld(result);
	}

	return endUnplaced(state, state.unplaced!);
};

const endUnplaced = (state: ClaimedCallState, verdict: UnansweredVerdict): ClaimedCallEffect => conclude(
	state,
	{requestId: state.options.requestId, attemptId: null, outcome: {type: 'notRun'}},
	finishWith(verdict),
);

/** Another request holds the key. If it is still in progress its entry may be dead, so the door that it went to is asked. */
const serveHeld = ({state, place, requestId}: HeldClaim): ClaimedCallEffect => state.type === 'inProgress'
	? {type: 'settle', place, requestId}
	: finishHeld(state);

const takeFound = (state: ClaimedCallState, {requestId, place}: HeldClaim, found: FoundOutcome): ClaimedCallEffect => {
	const attemptId = place?.attemptId ?? null;
	return match(found)
		.returnType<ClaimedCallEffect>()
		// It provably never ran: the key is free, and this call may take it.
		.with({type: 'notRun'}, () => conclude(state, {requestId, attemptId, outcome: {type: 'notRun'}}, nextRound(state)))
		.with({type: 'running'}, () => finishHeld({type: 'inProgress'}))
		.with({type: 'ran'}, ({answer}) => {
			const {status, contentType, body} = answer;
			return conclude(state, {requestId, attemptId, outcome: outcomeOf(state, answer)}, finishHeld({
				type: 'ran', status, contentType, body,
			}));
		})
		.with({type: 'lost', isForGood: true}, () => conclude(state, {requestId, attemptId, outcome: {type: 'mayHaveRun'}}, finishHeld({type: 'mayHaveRun'})))
		.with({type: 'lost'}, () => finishHeld({type: 'mayHaveRun'}))
		.exhaustive();
};

const nextRound = (state: ClaimedCallState): ClaimedCallEffect => {
	state.round++;
	state.isClaimed = false;
	state.refusal = null;
	state.held = null;
	state.unplaced = null;
	return state.round > state.options.maxRounds ? finishHeld({type: 'inProgress'}) : {type: 'attempt'};
};

type Conclusion = Omit<Extract<ClaimedCallEffect, {type: 'conclude'}>, 'type'>;

/**
 * Writes the outcome down, then goes on. If control cannot be reached the claim
 * stays as it is: a resend finds the outcome at the endpoint's door, so the
 * caller is told the truth either way.
 */
const conclude = (state: ClaimedCallState, conclusion: Conclusion, next: ClaimedCallEffect): ClaimedCallEffect => {
	state.next = next;
	return {type: 'conclude', ...conclusion};
};

const outcomeOf = ({options}: ClaimedCallState, {status, contentType, body, sizeBytes}: ClaimAnswer): ClaimOutcome => ({
	type: 'ran', status, contentType, body: sizeBytes > options.keptAnswerBytes ? null : body,
});

const finishWith = (verdict: UnansweredVerdict): ClaimedCallEffect => ({type: 'finish', reply: {type: 'verdict', verdict}});

const finishHeld = (state: ClaimState | {readonly type: 'differentBody'}): ClaimedCallEffect => ({type: 'finish', reply: {type: 'held', state}});
