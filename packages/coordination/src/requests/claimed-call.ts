import {
	mayHaveRun, notRun, type ClaimOutcome, type ClaimPlace, type ClaimState, type CommandResult, type UnansweredVerdict,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';

/**
 * State machine of a non-repeatable call, on the entry's side: first the claim in
 * the replicated log, then the attempts, then the outcome. Each effect is carried
 * out once and produces exactly one event, until `finish`; `attempt` produces
 * `placed` before each dispatch and `attempted` at its end.
 */
export type ClaimedCallState = {
	readonly options: Required<ClaimedCallOptions>;
	round: number;
	/** This request holds the claim on the key. */
	isClaimed: boolean;
	/** Why an attempt was not allowed. */
	refusal: string | null;
	/** The existing claim that blocked this call. */
	held: HeldClaim | null;
	/** Result if no earlier call with this key is found; set when there was no endpoint to claim for. */
	noEndpointVerdict: UnansweredVerdict | null;
	/** Effect that follows the conclusion being written. */
	next: ClaimedCallEffect | null;
};

export type ClaimedCallOptions = {
	readonly requestId: string;
	/** Maximum number of claim rounds: a barred claim frees the key, but another caller retry may claim it first. @default 3 */
	readonly maxRounds?: number;
	/** Larger answers are forwarded but not stored for caller retries. @default 65536 */
	readonly maxRetainedAnswerBytes?: number;
};

export type HeldClaim = Extract<CommandResult, {type: 'claimHeld'}>;

/** An answer as stored in the replicated log. */
export type ClaimAnswer = {
	readonly status: number;
	readonly contentType: string;
	/** In base64. */
	readonly body: string;
	readonly sizeBytes: number;
};

/** Outcome of a claimed call, as queried from its endpoint's request gate because its entry did not report one. */
export type FoundOutcome
	= | {readonly type: 'notRun'}
		| {readonly type: 'running'}
		| {readonly type: 'ran'; readonly answer: ClaimAnswer}
	/** `isForGood`: the agent that had the record is permanently lost. */
		| {readonly type: 'lost'; readonly isForGood: boolean};

export type ClaimedCallEvent
	/** An attempt is about to be sent to this endpoint. */
	= | {readonly type: 'placed'; readonly place: ClaimPlace}
		| {readonly type: 'proposed'; readonly result: CommandResult}
	/** The proposal may or may not have been written. */
		| {readonly type: 'proposalFailed'; readonly reason: string}
		| {readonly type: 'attempted'; readonly end: AttemptedEnd}
		| {readonly type: 'found'; readonly found: FoundOutcome}
	/** The conclusion was written, or writing it was abandoned. */
		| {readonly type: 'concluded'};

export type AttemptedEnd
	/** `answer` is `null` if it was incomplete. */
	= | {readonly type: 'answered'; readonly place: ClaimPlace; readonly answer: ClaimAnswer | null}
	/** `place` is `null` if no attempt was sent. */
		| {readonly type: 'verdict'; readonly place: ClaimPlace | null; readonly verdict: UnansweredVerdict}
		| {readonly type: 'stopped'};

export type ClaimedCallEffect
	= | {readonly type: 'attempt'}
		| {readonly type: 'claim'; readonly place: ClaimPlace | null}
		| {readonly type: 'move'; readonly place: ClaimPlace}
	/** Allow (`dispatch`) or cancel (`stop`) the placed attempt. */
		| {readonly type: 'dispatch'}
		| {readonly type: 'stop'}
	/** Query the request gate to which the held claim's attempt was sent; bar the attempt there if it has not started. */
		| {readonly type: 'settle'; readonly place: ClaimPlace | null; readonly requestId: string}
		| {readonly type: 'conclude'; readonly requestId: string; readonly attemptId: string | null; readonly outcome: ClaimOutcome | {readonly type: 'notRun'}}
		| {readonly type: 'finish'; readonly reply: ClaimedCallReply};

export type ClaimedCallReply
	= | {readonly type: 'verdict'; readonly verdict: UnansweredVerdict}
	/** The answer from this call's own attempt. */
		| {readonly type: 'answer'}
	/** State of the call that holds the key. */
		| {readonly type: 'held'; readonly state: ClaimState | {readonly type: 'differentBody'}};

export const createClaimedCall = ({maxRounds = 3, maxRetainedAnswerBytes = 65_536, ...options}: ClaimedCallOptions): ClaimedCallState => ({
	options: {maxRounds, maxRetainedAnswerBytes, ...options}, round: 1, isClaimed: false, refusal: null, held: null, noEndpointVerdict: null, next: null,
});

export const firstClaimedCallEffect: ClaimedCallEffect = {type: 'attempt'};

export const stepClaimedCall = (state: ClaimedCallState, event: ClaimedCallEvent): ClaimedCallEffect => match(event)
	.returnType<ClaimedCallEffect>()
	// A retry at another endpoint is recorded in the log before it is sent. Otherwise a
	// caller retry would query the previous endpoint's gate, get "not run" and run the call a second time.
	.with({type: 'placed'}, ({place}) => ({type: state.isClaimed ? 'move' : 'claim', place}))
	.with({type: 'proposed'}, ({result}) => state.noEndpointVerdict === null ? handleClaimResult(state, result) : handleEarlierClaim(state, result))
	.with({type: 'proposalFailed'}, ({reason}) => {
		if (state.noEndpointVerdict !== null) {
			return concludeWithoutEndpoint(state, state.noEndpointVerdict);
		}

		state.refusal = `the call could not be claimed: ${reason}`;
		return {type: 'stop'};
	})
	.with({type: 'attempted'}, ({end}) => handleAttemptedEnd(state, end))
	.with({type: 'found'}, ({found}) => handleFound(state, state.held!, found))
	.with({type: 'concluded'}, () => state.next!)
	.exhaustive();

const handleClaimResult = (state: ClaimedCallState, result: CommandResult): ClaimedCallEffect => {
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

const handleAttemptedEnd = (state: ClaimedCallState, end: AttemptedEnd): ClaimedCallEffect => match(end)
	.returnType<ClaimedCallEffect>()
	.with({type: 'stopped'}, () => state.held === null
		? finishWith(notRun(state.refusal ?? 'the call could not be claimed'))
		: handleHeldClaim(state.held))
	.with({type: 'verdict', place: null}, ({verdict}) => {
		// No endpoint is ready, but an earlier call with this key may have an outcome.
		state.noEndpointVerdict = verdict;
		return {type: 'claim', place: null};
	})
	.with({type: 'verdict'}, ({verdict, place}) => verdict.type === 'notRun'
		? conclude(state, {requestId: state.options.requestId, attemptId: place!.attemptId, outcome: {type: 'notRun'}}, finishWith(verdict))
		// The claim stays in progress: a caller retry queries the request gate, which may have an outcome by then.
		: finishWith(verdict))
	.with({type: 'answered', answer: null}, () => finishWith(mayHaveRun('the answer was incomplete')))
	.with({type: 'answered'}, ({answer, place}) => conclude(
		state,
		{requestId: state.options.requestId, attemptId: place.attemptId, outcome: outcomeOf(state, answer!)},
		{type: 'finish', reply: {type: 'answer'}},
	))
	.exhaustive();

const handleEarlierClaim = (state: ClaimedCallState, result: CommandResult): ClaimedCallEffect => {
	if (result.type === 'claimHeld') {
		state.held = result;
		return handleHeldClaim(result);
	}

	return concludeWithoutEndpoint(state, state.noEndpointVerdict!);
};

const concludeWithoutEndpoint = (state: ClaimedCallState, verdict: UnansweredVerdict): ClaimedCallEffect => conclude(
	state,
	{requestId: state.options.requestId, attemptId: null, outcome: {type: 'notRun'}},
	finishWith(verdict),
);

/** Another request holds the key. If it is still in progress, its entry may have crashed, so the request gate it was sent to is queried. */
const handleHeldClaim = ({state, place, requestId}: HeldClaim): ClaimedCallEffect => state.type === 'inProgress'
	? {type: 'settle', place, requestId}
	: finishHeld(state);

const handleFound = (state: ClaimedCallState, {requestId, place}: HeldClaim, found: FoundOutcome): ClaimedCallEffect => {
	const attemptId = place?.attemptId ?? null;
	return match(found)
		.returnType<ClaimedCallEffect>()
		// The other call provably never ran: the key becomes free, and this call may claim it.
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
	state.noEndpointVerdict = null;
	return state.round > state.options.maxRounds ? finishHeld({type: 'inProgress'}) : {type: 'attempt'};
};

type Conclusion = Omit<Extract<ClaimedCallEffect, {type: 'conclude'}>, 'type'>;

/**
 * Records the outcome, then continues. If control is unreachable the claim stays as
 * it is: a caller retry gets the outcome from the endpoint's request gate, so the
 * caller receives the correct outcome in both cases.
 */
const conclude = (state: ClaimedCallState, conclusion: Conclusion, next: ClaimedCallEffect): ClaimedCallEffect => {
	state.next = next;
	return {type: 'conclude', ...conclusion};
};

const outcomeOf = ({options}: ClaimedCallState, {status, contentType, body, sizeBytes}: ClaimAnswer): ClaimOutcome => ({
	type: 'ran', status, contentType, body: sizeBytes > options.maxRetainedAnswerBytes ? null : body,
});

const finishWith = (verdict: UnansweredVerdict): ClaimedCallEffect => ({type: 'finish', reply: {type: 'verdict', verdict}});

const finishHeld = (state: ClaimState | {readonly type: 'differentBody'}): ClaimedCallEffect => ({type: 'finish', reply: {type: 'held', state}});
