import type {AnswerStage} from '@bitternpaddle/coordination';
import {BrokenAnswerError, type AttemptAnswer, type AttemptOutcome} from './dispatch.js';

export type CrashWatcher = {
	/** Called when the endpoint's process exited while it had the request. */
	onEndpointExit(stage: AnswerStage, /** Time since the answer began; 0 if it had not. */ answeringMs: number): void;
	onComplete(status: number): void;
};

const watchParts = async function * (answer: AttemptAnswer, {onEndpointExit, onComplete}: CrashWatcher): ReturnType<AttemptAnswer['parts']> {
	const beganAtMs = performance.now();
	let stage: AnswerStage = 'begun';
	try {
		for await (const part of answer.parts()) {
			stage = 'answering';
			yield part;
		}
	} catch (error) {
		if (error instanceof BrokenAnswerError && answer.didEndpointExit()) {
			onEndpointExit(stage, performance.now() - beganAtMs);
		}

		throw error;
	}

	onComplete(answer.status);
};

/** Reports how an attempt ended: immediately, or once its answer has been read. */
export const watchForCrash = (outcome: AttemptOutcome, watcher: CrashWatcher): AttemptOutcome => {
	if (outcome.type === 'answer') {
		const {answer} = outcome;
		return {...outcome, answer: {...answer, parts: () => watchParts(answer, watcher)}};
	}

	if (outcome.hasEndpointExited) {
		watcher.onEndpointExit('waiting', 0);
	}

	return outcome;
};
