import type {AnswerStage} from './broken-attempts.js';

/**
 * An answer without a length that ended with its connection. Whether it is complete or its
 * endpoint exited is decided by what is learned of the endpoint afterwards.
 */
export type EndedAnswer<Request> = {
	readonly request: Request;
	readonly endpointId: string;
	readonly address: string;
	readonly atMs: number;
	readonly stage: AnswerStage;
};

/** Oldest first. */
export type EndedAnswers<Request> = Array<EndedAnswer<Request>>;

/** An exit that becomes known within this time after the end of an answer may have caused it. */
const exitWindowMs = 1000;
/** Reports are less old than this when they arrive, and an exit is reported at once. */
const reportDelayMs = 300;
/** Ends that are still undecided prove nothing: another start of the endpoint may run at the address by now. */
const decisionTimeoutMs = 2000;
/** An undecided end keeps its request, with the body, in memory. */
const maxEnded = 512;

const take = <Request>(ended: EndedAnswers<Request>, isTaken: (answer: EndedAnswer<Request>) => boolean): Array<EndedAnswer<Request>> => {
	if (ended.length === 0) {
		return ended;
	}

	const taken = ended.filter(answer => isTaken(answer));
	if (taken.length > 0) {
		ended.splice(0, ended.length, ...ended.filter(answer => !taken.includes(answer)));
	}

	return taken;
};

export const pruneEndedAnswers = <Request>(ended: EndedAnswers<Request>, nowMs: number): void => {
	const firstKept = ended.findIndex(({atMs}) => nowMs - atMs <= decisionTimeoutMs);
	ended.splice(0, firstKept === -1 ? ended.length : Math.max(firstKept, ended.length - maxEnded));
};

export const recordEndedAnswer = <Request>(ended: EndedAnswers<Request>, answer: EndedAnswer<Request>): void => {
	ended.push(answer);
	pruneEndedAnswers(ended, answer.atMs);
};

/** Returns the answers that an exit of the endpoint at the address may have ended, and forgets them. */
export const takeExited = <Request>(ended: EndedAnswers<Request>, address: string, nowMs: number): Array<EndedAnswer<Request>> =>
	take(ended, answer => answer.address === address && nowMs - answer.atMs <= exitWindowMs);

/** Returns the answers that are complete because the endpoint answered a request that was sent to it at `sentAtMs`, and forgets them. */
export const takeAnswered = <Request>(ended: EndedAnswers<Request>, endpointId: string, sentAtMs: number): Array<EndedAnswer<Request>> =>
	take(ended, answer => answer.endpointId === endpointId && answer.atMs < sentAtMs);

/** Returns the answers that are complete because the host of the endpoint still reports on it, and forgets them. */
export const takeReported = <Request>(ended: EndedAnswers<Request>, address: string, nowMs: number): Array<EndedAnswer<Request>> =>
	take(ended, answer => answer.address === address && nowMs - answer.atMs > reportDelayMs && nowMs - answer.atMs <= decisionTimeoutMs);
