import {mayHaveRun, notRun, type UnansweredVerdict} from '@bitternpaddle/state';
import {match, P} from 'ts-pattern';

/**
 * State machine of one attempt at one endpoint, on the entry's side. Each effect
 * is carried out once and produces exactly one event, until `finish`.
 */
export type AttemptState = {
	phase: 'sending' | 'settling' | 'resuming' | 'answering' | 'ended';
	/** The head was forwarded, so the caller may have received part of the answer. */
	isHeadForwarded: boolean;
	/** Received bytes of the answer. */
	offset: number;
	/** Connections lost since the last received byte. */
	losses: number;
	/** Why the answer is no longer needed. */
	givenUp: GiveUpCause | null;
	readonly maxLosses: number;
};

export type GiveUpCause = 'deadline' | 'callerGone' | 'quarantined';

export type AttemptEvent
	/** The request gate refused, or the run failed before its first byte. */
	= | {readonly type: 'refused'; readonly verdict: UnansweredVerdict; readonly isFull: boolean}
	/** An answer begins; `isOwn`: it carries this request's id. */
		| {readonly type: 'head'; readonly isOwn: boolean}
		| {readonly type: 'part'; readonly sizeBytes: number}
		| {readonly type: 'end'; readonly isWhole: boolean}
	/** The connection was closed early or idle for too long. `isUnsent`: it was never established, so nothing was sent. */
		| {readonly type: 'connectionLost'; readonly isUnsent: boolean; readonly reason: string}
		| {readonly type: 'settled'; readonly result: 'ran' | 'running' | 'notRun' | 'unknown'}
		| {readonly type: 'settleFailed'}
		| {readonly type: 'gaveUp'; readonly cause: GiveUpCause};

export type AttemptEffect
	= | {readonly type: 'send'}
	/** Query the request gate on a new connection; the previous one is closed. */
		| {readonly type: 'settle'; readonly isCancel: boolean}
	/** Continue reading at `offset` on a new connection; the previous one is closed. */
		| {readonly type: 'resume'; readonly offset: number}
	/** Forward the answer's head, then read. */
		| {readonly type: 'passOn'}
		| {readonly type: 'read'}
		| {readonly type: 'finish'; readonly end: AttemptEnd};

export type AttemptEnd
	= | {readonly type: 'whole'}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict; readonly cause: UnansweredCause}
	/** Part of the answer was forwarded, and the remainder is lost. */
		| {readonly type: 'broken'; readonly reason: string};

/** Why an attempt ended without an answer. */
export type UnansweredCause
	/** The endpoint has no spare slots now. */
	= | 'doorFull'
	/** The request gate was reached and refused, so an immediate retry is useless. */
		| 'refused'
		| 'lost'
	/** The answer is no longer needed. */
		| 'givenUp';

export type AttemptOptions = {
	/** Consecutive connection losses without a received byte that the attempt tolerates. @default 4 */
	readonly maxLosses?: number;
};

export const createAttempt = ({maxLosses = 4}: AttemptOptions = {}): AttemptState => ({
	phase: 'sending', isHeadForwarded: false, offset: 0, losses: 0, givenUp: null, maxLosses,
});

export const firstEffect: AttemptEffect = {type: 'send'};

export const stepAttempt = (state: AttemptState, event: AttemptEvent): AttemptEffect => match(event)
	.returnType<AttemptEffect>()
	.with({type: 'refused'}, ({verdict, isFull}) => finish(state, verdict, isFull ? 'doorFull' : 'refused'))
	.with({type: 'head', isOwn: true}, () => handleHead(state))
	// The answer belongs to another request: either late on a reused connection or
	// crossed. Nothing on this connection can be trusted, so the gate is queried on a new one.
	.with({type: 'head', isOwn: false}, () => handleLostConnection(state, 'received the answer to another request'))
	.with({type: 'part'}, ({sizeBytes}) => {
		state.offset += sizeBytes;
		state.losses = 0;
		return {type: 'read'};
	})
	.with({type: 'end', isWhole: true}, () => {
		state.phase = 'ended';
		return {type: 'finish', end: {type: 'whole'}};
	})
	.with({type: 'end', isWhole: false}, () => finish(state, mayHaveRun('the answer was incomplete'), 'lost'))
	.with({type: 'connectionLost', isUnsent: true}, ({reason}) => state.phase === 'sending'
		? finish(state, notRun(`could not connect to the host: ${reason}`), 'lost')
		: handleLostConnection(state, reason))
	.with({type: 'connectionLost', isUnsent: false}, ({reason}) => handleLostConnection(state, reason))
	.with({type: 'settled'}, ({result}) => handleResolution(state, result))
	.with({type: 'settleFailed'}, () => finish(state, mayHaveRun('the connection to the host was lost and the outcome could not be queried'), 'lost'))
	.with({type: 'gaveUp'}, ({cause}) => {
		state.givenUp = cause;
		return resolveOutcome(state);
	})
	.exhaustive();

const handleHead = (state: AttemptState): AttemptEffect => {
	state.phase = 'answering';
	if (state.isHeadForwarded) {
		return {type: 'read'};
	}

	state.isHeadForwarded = true;
	return {type: 'passOn'};
};

const handleLostConnection = (state: AttemptState, reason: string): AttemptEffect => {
	state.losses++;
	if (state.losses > state.maxLosses) {
		return finish(state, mayHaveRun(`connections to the host were lost repeatedly: ${reason}`), 'lost');
	}

	// Once the answer has begun it is certain that the request was started.
	return state.phase === 'answering' ? resume(state) : resolveOutcome(state);
};

const resolveOutcome = (state: AttemptState): AttemptEffect => {
	state.phase = 'settling';
	return {type: 'settle', isCancel: state.givenUp !== null};
};

const resume = (state: AttemptState): AttemptEffect => {
	state.phase = 'resuming';
	return {type: 'resume', offset: state.offset};
};

const handleResolution = (state: AttemptState, result: 'ran' | 'running' | 'notRun' | 'unknown'): AttemptEffect => match(result)
	.with('notRun', () => finish(state, notRun(state.givenUp === null ? 'the connection to the host was lost before the request started' : giveUpReason(state.givenUp)), 'lost'))
	.with('unknown', () => finish(state, mayHaveRun('the host was restarted or no longer has a record of the request'), 'lost'))
	.with(P.union('ran', 'running'), () => state.givenUp === null ? resume(state) : finish(state, mayHaveRun(giveUpReason(state.givenUp)), 'lost'))
	.exhaustive();

const giveUpReason = (cause: GiveUpCause): string => match(cause)
	.with('deadline', () => 'the deadline passed')
	.with('callerGone', () => 'the caller hung up')
	.with('quarantined', () => 'endpoints crash on this request')
	.exhaustive();

const finish = (state: AttemptState, verdict: UnansweredVerdict, cause: UnansweredCause): AttemptEffect => {
	state.phase = 'ended';
	return {
		type: 'finish',
		end: state.isHeadForwarded ? {type: 'broken', reason: verdict.reason} : {type: 'verdict', verdict, cause: state.givenUp === null ? cause : 'givenUp'},
	};
};
