import {Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	firstEffect, stepAttempt, type AttemptEffect, type AttemptEnd, type UnansweredCause,
} from '@bitternpaddle/coordination';
import {mayHaveRun, type ClaimPlace, type UnansweredVerdict} from '@bitternpaddle/state';
import type {Attempt} from './attempt.js';
import {
	carryOut, createRunning, readPart, settle, type Running,
} from './attempt-connection.js';

export type {Attempt} from './attempt.js';

/** An answer whose head is here; `parts` gives the rest, over as many connections as it takes. */
export type AttemptAnswer = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	/** Ends only if the answer is whole and this request's own; throws `BrokenAnswerError` if not. */
	parts(): AsyncGenerator<Buffer, void>;
	/** Says whether silence counts: it does not while a slow caller holds the reading up. */
	watch(isWatched: boolean): void;
	/** Whether the endpoint's process ended before the answer was whole. */
	hasEndpointEnded(): boolean;
};

export type AttemptOutcome
	= | {readonly type: 'answer'; readonly answer: AttemptAnswer}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict; readonly cause: UnansweredCause; readonly hasEndpointEnded: boolean};

export class BrokenAnswerError extends Error {
	override readonly name = 'BrokenAnswerError';
}

/** Sends a request to one endpoint's door; resolves with the answer's head or with what became of the request. */
export const dispatch = async (attempt: Attempt): Promise<AttemptOutcome> => {
	const running = createRunning(attempt);
	const effect = await runUntil(running, firstEffect);
	if (effect.type === 'passOn') {
		return {type: 'answer', answer: createAnswer(running)};
	}

	const {end} = effect as Extract<AttemptEffect, {type: 'finish'}>;
	const {hasEndpointEnded} = running;
	return end.type === 'verdict'
		? {...end, hasEndpointEnded}
		: {
			type: 'verdict', verdict: mayHaveRun('the answer was not whole'), cause: 'lost', hasEndpointEnded,
		};
};

export type RecoverOptions = {
	readonly place: ClaimPlace;
	readonly requestId: string;
	readonly suspectMs: number;
	readonly signal: AbortSignal;
};

export type Recovered
	= | {readonly type: 'answer'; readonly answer: AttemptAnswer}
		| {readonly type: 'running' | 'notRun' | 'unknown' | 'unreachable'};

/** Finds out what became of an attempt that another entry, perhaps dead by now, dispatched; reads its answer if it has one. */
export const recover = async ({place, requestId, suspectMs, signal}: RecoverOptions): Promise<Recovered> => {
	const attempt: Attempt = {
		requestId, suspectMs, signal, attemptId: place.attemptId, issue: place.issue, endpoint: {...place, versionId: null},
		revision: 0, method: 'GET', path: '', contentType: '', body: Buffer.alloc(0), idempotencyKey: null, isOnce: true, remainingMs: 0,
	};
	const settled = await settle(attempt, false);
	if (settled.type !== 'settled') {
		return {type: 'unreachable'};
	}

	if (settled.result !== 'ran') {
		return {type: settled.result};
	}

	const running = createRunning(attempt);
	const effect = await runUntil(running, {type: 'resume', offset: 0});
	return effect.type === 'passOn' ? {type: 'answer', answer: createAnswer(running)} : {type: 'unknown'};
};

const createAnswer = (running: Running): AttemptAnswer => {
	const {statusCode, headers} = running.connection!;
	return {
		status: statusCode!, headers,
		parts: () => readParts(running),
		hasEndpointEnded: () => running.hasEndpointEnded,
		watch(isWatched) {
			if (running.connection?.complete === false) {
				running.connection.socket.setTimeout(isWatched ? running.attempt.suspectMs : 0);
			}
		},
	};
};

async function * readParts(running: Running): AsyncGenerator<Buffer, void> {
	let event = await readPart(running);
	for (;;) {
		if (event.type === 'part') {
			yield running.lastPart!;
		}

		const effect = await runUntil(running, stepAttempt(running.state, event));
		if (effect.type === 'finish') {
			assertWhole(effect.end);
			return;
		}

		event = await readPart(running);
	}
}

const assertWhole = (end: AttemptEnd): void => {
	if (end.type !== 'whole') {
		throw new BrokenAnswerError(end.type === 'broken' ? end.reason : end.verdict.reason);
	}
};

/** Carries out effects until one needs whoever reads the answer: `passOn`, `read` or `finish`. */
const runUntil = async (running: Running, first: AttemptEffect): Promise<AttemptEffect> => {
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

		effect = stepAttempt(running.state, await carryOut(running, effect));
	}
};

