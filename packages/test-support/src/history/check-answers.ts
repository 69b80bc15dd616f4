import {collectCalls, type Call} from './calls.js';
import {eventsOf, type CallOutcome, type HistoryEvent} from './events.js';
import type {Violation, ViolationType} from './violation.js';

type Answered = Extract<CallOutcome, {type: 'answered'}>;

/** Each answer is whole, its own, and of one version; each caller gets an end. */
export const checkAnswers = (events: readonly HistoryEvent[]): Violation[] => {
	const digests = new Map(eventsOf(events, 'versionPublished').map(version => [version.versionId, version.digest]));
	return collectCalls(events).flatMap(call => checkCall(call, digests));
};

const checkCall = (call: Call, digests: ReadonlyMap<string, string>): Violation[] => {
	const {ended, started} = call;
	if (ended === undefined) {
		return [];
	}

	const violation = (type: ViolationType, detail: string): Violation => ({type, atMs: ended.atMs, detail: `${started.callId}: ${detail}`});
	if (ended.outcome.type === 'noAnswer') {
		return [violation('noAnswer', 'the caller got nothing')];
	}

	if (ended.outcome.type !== 'answered') {
		return [];
	}

	const answer = ended.outcome;
	if (!answer.isComplete) {
		return [violation('notWhole', 'the answer ended early without an error')];
	}

	if (answer.echo !== started.echo) {
		return [violation('foreignAnswer', `got "${answer.echo}" for "${started.echo}"`)];
	}

	const mixed = started.key === null ? findMixedWeights(answer, call, digests) : null;
	return mixed === null ? [] : [violation('mixedWeights', mixed)];
};

/** Why the answer is not of the one version that it is tagged with, or `null`. */
const findMixedWeights = ({versionId, requestId, digests: seen}: Answered, {runs}: Call, digests: ReadonlyMap<string, string>): string | null => {
	const expected = digests.get(versionId ?? '');
	if (expected === undefined) {
		return `tagged with unknown version ${versionId}`;
	}

	const wrong = seen.find(digest => digest !== expected);
	if (seen.length === 0 || wrong !== undefined) {
		return `tagged ${versionId} (${expected}), computed by ${wrong ?? 'nothing'}`;
	}

	const run = runs.find(candidate => candidate.requestId === requestId);
	if (run === undefined) {
		return `answered as ${requestId}, which never ran`;
	}

	return run.digest === expected ? null : `tagged ${versionId} (${expected}), but ${run.hostId} held ${run.digest}`;
};
