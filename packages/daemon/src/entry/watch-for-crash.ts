import type {AnswerStage} from '@bitternpaddle/coordination';
import {BrokenAnswerError, type AttemptAnswer, type AttemptOutcome} from './dispatch.js';

export type CrashWatcher = {
	/** The endpoint's process ended while it had the request. */
	onEnded(stage: AnswerStage): void;
	onWhole(): void;
};

const watchParts = async function * (answer: AttemptAnswer, {onEnded, onWhole}: CrashWatcher): ReturnType<AttemptAnswer['parts']> {
	let stage: AnswerStage = 'begun';
	try {
		for await (const part of answer.parts()) {
			stage = 'answering';
			yield part;
		}
	} catch (error) {
		if (error instanceof BrokenAnswerError && answer.hasEndpointEnded()) {
			onEnded(stage);
		}

		throw error;
	}

	onWhole();
};

/** Tells of the end of an attempt, at once or once its answer has been read. */
export const watchForCrash = (outcome: AttemptOutcome, watcher: CrashWatcher): AttemptOutcome => {
	if (outcome.type === 'answer') {
		const {answer} = outcome;
		return {...outcome, answer: {...answer, parts: () => watchParts(answer, watcher)}};
	}

	if (outcome.hasEndpointEnded) {
		watcher.onEnded('waiting');
	}

	return outcome;
};
