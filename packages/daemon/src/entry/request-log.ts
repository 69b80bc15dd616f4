import type http from 'node:http';
import type {Endpoint, RouteTarget} from '@bitternpaddle/coordination';
import type {RequestRecord, RequestSelection} from '@bitternpaddle/protocol';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import {modelNameOf} from './target-names.js';

export type RequestLogOptions = {
	readonly entryId: string;
	/** Number of ended requests that are retained for `explain request`. @default 2000 */
	readonly maxRetainedRecords?: number;
	serviceOf(target: RouteTarget): string;
	/** Called with every request that has ended. */
	onEnd(record: RequestRecord): void;
};

export type BeginOptions = {
	readonly requestId: string;
	readonly teamId: string;
	readonly target: RouteTarget;
	readonly response: http.ServerResponse;
};

/** The part of an attempt's outcome that is recorded. */
export type TracedOutcome = {readonly type: 'answer'} | {readonly type: 'verdict'; readonly verdict: UnansweredVerdict};

/** Records the events of one request. */
export type RequestTrace = {
	attempt<Outcome extends TracedOutcome>(endpoint: Endpoint, number: number, run: () => Promise<Outcome>): Promise<Outcome>;
	/** The first byte of the answer's body was received. */
	firstByte(): void;
	refused(verdict: UnansweredVerdict): void;
	/** The endpoint's answer was incomplete. */
	cut(): void;
};

export type RequestLog = {
	begin(options: BeginOptions): RequestTrace;
	select(selection: RequestSelection): RequestRecord[];
};

/** Text from the caller is truncated, since a model name may be as long as a body. */
const maxTextLength = 128;
const maxRetainedAttempts = 32;
const truncate = (text: string): string => text.slice(0, maxTextLength);

type MutableRecord = {-readonly [Key in keyof RequestRecord]: RequestRecord[Key]};

/** Retains requests in flight and the most recently ended ones, for `explain request`. */
export const createRequestLog = ({entryId, maxRetainedRecords = 2000, serviceOf, onEnd}: RequestLogOptions): RequestLog => {
	const inFlight = new Map<string, RequestRecord>();
	// A map preserves insertion order, so its first key is the oldest.
	const ended = new Map<string, RequestRecord>();

	const finish = (record: MutableRecord, response: http.ServerResponse, elapsedMs: number): void => {
		inFlight.delete(record.requestId);
		record.endedAfterMs = elapsedMs;
		record.status = response.headersSent ? response.statusCode : null;
		if (record.state === 'inFlight') {
			record.state = response.writableFinished ? 'answered' : 'abandoned';
		}

		ended.set(record.requestId, record);
		if (ended.size > maxRetainedRecords) {
			ended.delete(ended.keys().next().value!);
		}

		onEnd(record);
	};

	return {
		begin({requestId, teamId, target, response}) {
			const startedMs = performance.now();
			const elapsedMs = (): number => Math.round(performance.now() - startedMs);
			const record: MutableRecord = {
				requestId, entryId, teamId, serviceId: serviceOf(target), target: truncate(nameOfTarget(target)), arrivedAtMs: Date.now(),
				firstByteAfterMs: null, endedAfterMs: null, state: 'inFlight', status: null, verdict: null, reason: null, versionId: null, attempts: [],
			};
			inFlight.set(requestId, record);
			response.once('close', () => {
				finish(record, response, elapsedMs());
			});
			return {
				async attempt(endpoint, number, run) {
					const attempt: RequestRecord['attempts'][number] = {
						number, hostId: endpoint.hostId, startedAfterMs: elapsedMs(), endedAfterMs: null, verdict: null, reason: null,
					};
					record.attempts.push(attempt);
					// Full request gates can refuse a call many times before a slot is free, so only the latest attempts are retained.
					if (record.attempts.length > maxRetainedAttempts) {
						record.attempts.shift();
					}

					const outcome = await run();
					attempt.endedAfterMs = elapsedMs();
					attempt.verdict = outcome.type === 'answer' ? 'ran' : outcome.verdict.type;
					if (outcome.type === 'answer') {
						record.versionId = endpoint.versionId;
					}

					if (outcome.type === 'answer' && target.type === 'service') {
						record.firstByteAfterMs = attempt.endedAfterMs;
					}

					attempt.reason = outcome.type === 'answer' ? null : truncate(outcome.verdict.reason);
					return outcome;
				},
				firstByte() {
					record.firstByteAfterMs ??= elapsedMs();
				},
				refused(verdict) {
					// The caller has disconnected and does not see this outcome.
					if (record.endedAfterMs !== null) {
						return;
					}

					record.state = 'refused';
					record.verdict = verdict.type;
					record.reason = truncate(verdict.reason);
				},
				cut() {
					if (record.endedAfterMs !== null) {
						return;
					}

					record.state = 'cut';
					record.verdict = 'mayHaveRun';
					record.reason = 'the answer was cut';
				},
			};
		},
		select: selection => match(selection)
			.with({type: 'inFlight'}, () => [...inFlight.values()])
			.with({type: 'byId'}, ({requestId}) => {
				const found = inFlight.get(requestId) ?? ended.get(requestId);
				return found === undefined ? [] : [found];
			})
			.exhaustive(),
	};
};

const nameOfTarget = (target: RouteTarget): string => target.type === 'model' ? modelNameOf(target) : target.serviceId;
