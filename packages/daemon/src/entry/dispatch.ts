import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	firstEffect, stepAttempt, type AttemptEffect, type AttemptEnd, type UnansweredCause,
} from '@bitternpaddle/coordination';
import {mayHaveRun, type ClaimPlace, type UnansweredVerdict} from '@bitternpaddle/state';
import type {Attempt} from './attempt.js';
import {
	performEffect, createRunningAttempt, readPart, resolveAttempt, type RunningAttempt,
} from './attempt-connection.js';

export type {Attempt} from './attempt.js';

/** An answer whose head has been received; `parts` yields its body, over as many connections as it takes. */
export type AttemptAnswer = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	/** Ends normally only if the answer is complete and belongs to this request; otherwise throws `BrokenAnswerError`. */
	parts(): AsyncGenerator<Buffer, void>;
	/** Turns the idle timeout of the connection on or off; it is off while a slow caller blocks the reading. */
	monitorSilence(isWatched: boolean): void;
	/** Whether the endpoint's process exited before the answer was complete. */
	didEndpointExit(): boolean;
};

export type AttemptOutcome
	= | {readonly type: 'answer'; readonly answer: AttemptAnswer}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict; readonly cause: UnansweredCause; readonly hasEndpointExited: boolean};

export class BrokenAnswerError extends Error {
	override readonly name = 'BrokenAnswerError';
}

/** Sends a request to the request gate of one endpoint; resolves with the answer once its head has been received, or with the verdict on the request. */
export const dispatch = async (attempt: Attempt): Promise<AttemptOutcome> => {
	const running = createRunningAttempt(attempt);
	const effect = await runEffects(running, firstEffect);
	if (effect.type === 'passOn') {
		return {type: 'answer', answer: createAnswer(running)};
	}

	const {end} = effect as Extract<AttemptEffect, {type: 'finish'}>;
	const {hasEndpointExited} = running;
	return end.type === 'verdict'
		? {...end, hasEndpointExited}
		: {
			type: 'verdict', verdict: mayHaveRun('the answer was not complete'), cause: 'lost', hasEndpointExited,
		};
};

export type RecoverOptions = {
	readonly place: ClaimPlace;
	readonly requestId: string;
	readonly suspectMs: number;
	readonly signal: AbortSignal;
};

export type RecoveryResult
	= | {readonly type: 'answer'; readonly answer: AttemptAnswer}
		| {readonly type: 'running' | 'notRun' | 'unknown' | 'unreachable'};

/** Resolves an attempt that another entry, which may have crashed since, dispatched; reads its answer if there is one. */
export const recover = async ({place, requestId, suspectMs, signal}: RecoverOptions): Promise<RecoveryResult> => {
	const attempt: Attempt = {
		requestId, suspectMs, signal, attemptId: place.attemptId, issue: place.issue, endpoint: {...place, versionId: null},
		revision: 0, method: 'GET', path: '', contentType: '', body: Buffer.alloc(0), idempotencyKey: null, isOnce: true, remainingMs: 0,
	};
	const resolution = await resolveAttempt(attempt, false);
	if (resolution.type !== 'settled') {
		return {type: 'unreachable'};
	}

	if (resolution.result !== 'ran') {
		return {type: resolution.result};
	}

	const running = createRunningAttempt(attempt);
	const effect = await runEffects(running, {type: 'resume', offset: 0});
	return effect.type === 'passOn' ? {type: 'answer', answer: createAnswer(running)} : {type: 'unknown'};
};

const createAnswer = (running: RunningAttempt): AttemptAnswer => {
	const {statusCode, headers} = running.connection!;
	return {
		status: statusCode!, headers,
		parts: () => readParts(running),
		didEndpointExit: () => running.hasEndpointExited,
		monitorSilence(isWatched) {
			if (running.connection?.complete === false) {
				running.connection.socket.setTimeout(isWatched ? running.attempt.suspectMs : 0);
			}
		},
	};
};

async function * readParts(running: RunningAttempt): AsyncGenerator<Buffer, void> {
	let event = await readPart(running);
	for (;;) {
		if (event.type === 'part') {
			yield running.lastPart!;
		}

		const effect = await runEffects(running, stepAttempt(running.state, event));
		if (effect.type === 'finish') {
			assertComplete(effect.end);
			return;
		}

		event = await readPart(running);
	}
}

const assertComplete = (end: AttemptEnd): void => {
	if (end.type !== 'whole') {
		throw new BrokenAnswerError(end.type === 'broken' ? end.reason : end.verdict.reason);
	}
};

/** Performs effects until one is for the reader of the answer: `passOn`, `read` or `finish`. */
const runEffects = async (running: RunningAttempt, first: AttemptEffect): Promise<AttemptEffect> => {
	let effect = first;
	for (;;) {
		if (effect.type === 'passOn' || effect.type === 'read') {
			return effect;
		}

		if (effect.type === 'finish') {
			if (effect.end.type !== 'whole') {
				running.connection?.destroy();
			}

			return effect;
		}

		effect = stepAttempt(running.state, await performEffect(running, effect));
	}
};

