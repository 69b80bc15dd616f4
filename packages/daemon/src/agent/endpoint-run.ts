import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {EndMarker} from '@bitternpaddle/protocol';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import {createAnswerBuffer, type AnswerBuffer} from './answer-buffer.js';

export type AnswerHead = {readonly status: number; readonly contentType: string; readonly versionId: string | null; readonly adapterTag?: string};

export type EndpointRunOptions = {
	readonly attemptId: string;
	readonly requestId: string;
	readonly isRepeatable: boolean;
	readonly deadlineAtMs: number;
	readonly windowBytes: number;
	readonly nowMs: number;
};

/** One request on the endpoint and the answer received so far; it outlives the entry's connection. */
export type EndpointRun = {
	readonly attemptId: string;
	readonly requestId: string;
	readonly isRepeatable: boolean;
	readonly deadlineAtMs: number;
	/** Aborting it terminates the run on the endpoint. */
	readonly abort: AbortController;
	readonly buffer: AnswerBuffer;
	head: AnswerHead | null;
	/** Set once the answer is complete. */
	marker: EndMarker | null;
	/** Set once it is known that the answer will never be complete. */
	failure: UnansweredVerdict | null;
	lastByteAtMs: number;
	isHeldBack: boolean;
	/** Connections that read the answer; two while an entry replaces a silent connection. */
	readers: number;
	unattendedSinceMs: number | null;
	/** Offset up to which the answer has been sent to the reading entry. */
	readOffset: number;
	endedAtMs: number | null;
	setHead(head: AnswerHead): void;
	push(part: Buffer, nowMs: number): void;
	complete(nowMs: number): void;
	fail(verdict: UnansweredVerdict, nowMs: number): void;
	/** Resolves all pending `nextChange` promises. */
	notify(): void;
	/** Resolves at the next change of the run, or of its reader. */
	nextChange(): Promise<void>;
};

export const createEndpointRun = ({attemptId, requestId, isRepeatable, deadlineAtMs, windowBytes, nowMs}: EndpointRunOptions): EndpointRun => {
	const hash = createHash('sha256');
	let waiters: Array<() => void> = [];

	const run: EndpointRun = {
		attemptId, requestId, isRepeatable, deadlineAtMs, abort: new AbortController(), buffer: createAnswerBuffer({windowBytes}),
		head: null, marker: null, failure: null, lastByteAtMs: nowMs, isHeldBack: false, readers: 0, unattendedSinceMs: null, readOffset: 0, endedAtMs: null,
		setHead(head) {
			run.head = head;
			run.notify();
		},
		push(part, atMs) {
			hash.update(part);
			run.buffer.push(part);
			run.lastByteAtMs = atMs;
			run.notify();
		},
		complete(atMs) {
			run.marker = {
				requestId, sizeBytes: run.buffer.endOffset(), digest: hash.digest('hex'), versionId: run.head!.versionId,
				...(run.head!.adapterTag !== undefined && {adapterTag: run.head!.adapterTag}),
			};
			run.endedAtMs = atMs;
			run.notify();
		},
		fail(verdict, atMs) {
			run.failure = verdict;
			run.endedAtMs = atMs;
			run.notify();
		},
		notify() {
			const pending = waiters;
			waiters = [];
			for (const resolveWaiter of pending) {
				resolveWaiter();
			}
		},
		nextChange: async () => new Promise(resolve => {
			waiters.push(resolve);
		}),
	};
	return run;
};
