import {collectCalls, type Call} from './calls.js';
import {eventsOf, type CallOutcome, type HistoryEvent} from './events.js';
import type {Violation, ViolationType} from './violation.js';

type Answered = Extract<CallOutcome, {type: 'answered'}>;

/** Checks that each answer is complete, belongs to its request and is of one version, and that each call ends. */
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
		return [violation('noAnswer', 'the caller got no response')];
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

	const mixedDetail = started.key === null ? findMixedWeights(answer, call, digests) : null;
	return mixedDetail === null ? [] : [violation('mixedWeights', mixedDetail)];
};

/** Returns why the answer is not from the one version that it is tagged with, or `null`. */
const findMixedWeights = ({versionId, requestId, digests: answeredDigests}: Answered, {runs}: Call, digests: ReadonlyMap<string, string>): string | null => {
	const expected = digests.get(versionId ?? '');
	if (expected === undefined) {
		return `tagged with unknown version ${versionId}`;
	}

	const otherDigest = answeredDigests.find(digest => digest !== expected);
	if (answeredDigests.length === 0 || otherDigest !== undefined) {
		return `tagged ${versionId} (${expected}), computed by ${otherDigest ?? 'nothing'}`;
	}

	const run = runs.find(candidate => candidate.requestId === requestId);
	if (run === undefined) {
		return `answered as ${requestId}, which never ran`;
	}

	return run.digest === expected ? null : `tagged ${versionId} (${expected}), but ${run.hostId} held ${run.digest}`;
};
