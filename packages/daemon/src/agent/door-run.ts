import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {EndMarker} from '@bitternpaddle/protocol';
import type {UnansweredVerdict} from '@bitternpaddle/state';
import {createAnswerBuffer, type AnswerBuffer} from './answer-buffer.js';

export type AnswerHead = {readonly status: number; readonly contentType: string; readonly versionId: string | null; readonly adapterTag?: string};

export type DoorRunOptions = {
	readonly attemptId: string;
	readonly requestId: string;
	readonly isRepeatable: boolean;
	readonly deadlineAtMs: number;
	readonly windowBytes: number;
	readonly nowMs: number;
};

/** One request on the endpoint and its answer so far; it outlives the entry's connection. */
export type DoorRun = {
	readonly attemptId: string;
	readonly requestId: string;
	readonly isRepeatable: boolean;
	readonly deadlineAtMs: number;
	/** Aborted to end the run on the endpoint. */
	readonly abort: AbortController;
	readonly buffer: AnswerBuffer;
	head: AnswerHead | null;
	/** Set once the answer is whole. */
	marker: EndMarker | null;
	/** Set once it is known that there will be no whole answer. */
	failure: UnansweredVerdict | null;
	lastByteAtMs: number;
	isHeldBack: boolean;
	/** Entries that read the answer now; two while one gives up a silent connection. */
	readers: number;
	unattendedSinceMs: number | null;
	/** How far the reading entry has been sent the answer. */
	readOffset: number;
	endedAtMs: number | null;
	setHead(head: AnswerHead): void;
	push(part: Buffer, nowMs: number): void;
	complete(nowMs: number): void;
	fail(verdict: UnansweredVerdict, nowMs: number): void;
	/** Wakes whoever waits for `nextChange`. */
	notify(): void;
	/** Resolves at the next change of the run, or of its reader. */
	nextChange(): Promise<void>;
};

export const createDoorRun = ({attemptId, requestId, isRepeatable, deadlineAtMs, windowBytes, nowMs}: DoorRunOptions): DoorRun => {
	const hash = createHash('sha256');
	let waiters: Array<() => void> = [];

	const run: DoorRun = {
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
			const woken = waiters;
			waiters = [];
			for (const wake of woken) {
				wake();
			}
		},
		nextChange: async () => new Promise(resolve => {
			waiters.push(resolve);
		}),
	};
	return run;
};
