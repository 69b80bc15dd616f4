import {mayHaveRun, notRun, type UnansweredVerdict} from '@bitternpaddle/state';
import {match, P} from 'ts-pattern';

/**
 * One attempt at one endpoint, as the entry sees it. Each effect is carried
 * out once and brings exactly one event, until `finish`.
 */
export type AttemptState = {
	phase: 'sending' | 'settling' | 'resuming' | 'answering' | 'ended';
	/** The head was handed on, so the caller may have seen a part of the answer. */
	isPassedOn: boolean;
	/** Bytes of the answer that have arrived. */
	offset: number;
	/** Lost connections since the last byte. */
	losses: number;
	/** Why nobody wants the answer any more. */
	givenUp: GiveUpCause | null;
	readonly maxLosses: number;
};

export type GiveUpCause = 'deadline' | 'callerGone' | 'quarantined';

export type AttemptEvent
	/** The door refused, or the run failed before its first byte. */
	= | {readonly type: 'refused'; readonly verdict: UnansweredVerdict; readonly isFull: boolean}
	/** An answer begins; `isOwn` says whether it carries this request's id. */
		| {readonly type: 'head'; readonly isOwn: boolean}
		| {readonly type: 'part'; readonly sizeBytes: number}
		| {readonly type: 'end'; readonly isWhole: boolean}
	/** Cut, or silent for too long. `isUnsent`: it never stood, so nothing was sent. */
		| {readonly type: 'connectionLost'; readonly isUnsent: boolean; readonly reason: string}
		| {readonly type: 'settled'; readonly result: 'ran' | 'running' | 'notRun' | 'unknown'}
		| {readonly type: 'settleFailed'}
		| {readonly type: 'gaveUp'; readonly cause: GiveUpCause};

export type AttemptEffect
	= | {readonly type: 'send'}
	/** Ask the door on a new connection; the one before is closed. */
		| {readonly type: 'settle'; readonly isCancel: boolean}
	/** Read on at `offset` on a new connection; the one before is closed. */
		| {readonly type: 'resume'; readonly offset: number}
	/** Hand the answer's head on, then read. */
		| {readonly type: 'passOn'}
		| {readonly type: 'read'}
		| {readonly type: 'finish'; readonly end: AttemptEnd};

export type AttemptEnd
	= | {readonly type: 'whole'}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict; readonly cause: UnansweredCause}
	/** A part was handed on, and the rest will not come. */
		| {readonly type: 'broken'; readonly reason: string};

/** Why an attempt brought no answer. */
export type UnansweredCause
	/** The door has no room now. */
	= | 'doorFull'
	/** The door was reached and said no, so asking it again at once is useless. */
		| 'refused'
		| 'lost'
	/** Nobody wants the answer any more. */
		| 'givenUp';

export type AttemptOptions = {
	/** Connections lost in a row, without a byte, before the attempt ends. @default 4 */
	readonly maxLosses?: number;
};

export const createAttempt = ({maxLosses = 4}: AttemptOptions = {}): AttemptState => ({
	phase: 'sending', isPassedOn: false, offset: 0, losses: 0, givenUp: null, maxLosses,
});

export const firstEffect: AttemptEffect = {type: 'send'};

export const stepAttempt = (state: AttemptState, event: AttemptEvent): AttemptEffect => match(event)
	.returnType<AttemptEffect>()
	.with({type: 'refused'}, ({verdict, isFull}) => finish(state, verdict, isFull ? 'doorFull' : 'refused'))
	.with({type: 'head', isOwn: true}, () => takeHead(state))
	// An answer to someone else: late on a connection used before, or crossed.
	// Nothing on this connection can be trusted; the door is asked on another.
	.with({type: 'head', isOwn: false}, () => lose(state, 'another request\'s answer came'))
	.with({type: 'part'}, ({sizeBytes}) => {
		state.offset += sizeBytes;
		state.losses = 0;
		return {type: 'read'};
	})
	.with({type: 'end', isWhole: true}, () => {
		state.phase = 'ended';
		return {type: 'finish', end: {type: 'whole'}};
	})
	.with({type: 'end', isWhole: false}, () => finish(state, mayHaveRun('the answer was not whole'), 'lost'))
	.with({type: 'connectionLost', isUnsent: true}, ({reason}) => state.phase === 'sending'
		? finish(state, notRun(`the host cannot be reached: ${reason}`), 'lost')
		: lose(state, reason))
	.with({type: 'connectionLost', isUnsent: false}, ({reason}) => lose(state, reason))
	.with({type: 'settled'}, ({result}) => takeSettled(state, result))
	.with({type: 'settleFailed'}, () => finish(state, mayHaveRun('the host was lost and cannot be asked'), 'lost'))
	.with({type: 'gaveUp'}, ({cause}) => {
		state.givenUp = cause;
		return settle(state);
	})
	.exhaustive();

const takeHead = (state: AttemptState): AttemptEffect => {
	state.phase = 'answering';
	if (state.isPassedOn) {
		return {type: 'read'};
	}

	state.isPassedOn = true;
	return {type: 'passOn'};
};

const lose = (state: AttemptState, reason: string): AttemptEffect => {
	state.losses++;
	if (state.losses > state.maxLosses) {
		return finish(state, mayHaveRun(`connections to the host are lost again and again: ${reason}`), 'lost');
	}

	// Once a byte of the answer is here it is known that the request runs.
	return state.phase === 'answering' ? resume(state) : settle(state);
};

const settle = (state: AttemptState): AttemptEffect => {
	state.phase = 'settling';
	return {type: 'settle', isCancel: state.givenUp !== null};
};

const resume = (state: AttemptState): AttemptEffect => {
	state.phase = 'resuming';
	return {type: 'resume', offset: state.offset};
};

const takeSettled = (state: AttemptState, result: 'ran' | 'running' | 'notRun' | 'unknown'): AttemptEffect => match(result)
	.with('notRun', () => finish(state, notRun(state.givenUp === null ? 'the connection to the host was lost before the request started' : reasonOf(state.givenUp)), 'lost'))
	.with('unknown', () => finish(state, mayHaveRun('the host was restarted, or has forgotten the request'), 'lost'))
	.with(P.union('ran', 'running'), () => state.givenUp === null ? resume(state) : finish(state, mayHaveRun(reasonOf(state.givenUp)), 'lost'))
	.exhaustive();

const reasonOf = (cause: GiveUpCause): string => match(cause)
	.with('deadline', () => 'the deadline passed')
	.with('callerGone', () => 'the caller hung up')
	.with('quarantined', () => 'endpoints end under this request')
	.exhaustive();

const finish = (state: AttemptState, verdict: UnansweredVerdict, cause: UnansweredCause): AttemptEffect => {
	state.phase = 'ended';
	return {
		type: 'finish',
		end: state.isPassedOn ? {type: 'broken', reason: verdict.reason} : {type: 'verdict', verdict, cause: state.givenUp === null ? cause : 'givenUp'},
	};
};
