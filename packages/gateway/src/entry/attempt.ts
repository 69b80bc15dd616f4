import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import type {AnswerStage, Exclusion} from '@bitternpaddle/coordination';
import {
	createBodyCollector, ignore, isRefusingConnections, limitInformationalAnswers, listenForAnswer, readLimits, recordAllocatedBytes, watchForReset,
} from '@bitternpaddle/transport';
import type {HeaderNames} from '../link/request-protocol.js';
import {unlimitedAnswers, type AnswerBudget} from './answer-budget.js';
import type {AttemptLimits} from './attempt-limits.js';
import type {EndpointConnections} from './endpoint-connections.js';
import {createEventSplitter} from './event-splitter.js';

/** Status and headers of an endpoint's answer. */
export type AnswerHead = {readonly status: number; readonly headers: http.IncomingHttpHeaders};

/** Whether the end of the connection is all that tells the end of the answer's body. */
export const isUnframed = ({headers}: AnswerHead): boolean => headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;

/** Statuses of answers without a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer has a body, which its end may cut. */
export const hasBody = (method: string | undefined, status: number): boolean => method !== 'HEAD' && !bodilessStatuses.has(status);

/**
 * Why nothing was sent: a rule on zones or regions; `weights`: the engine is no longer shown to hold the
 * version that the request names; `key`: the key of the caller is not confirmed to be in force any more.
 */
export type SendExclusion = Exclusion | 'weights' | 'key';

export type AttemptOptions = {
	readonly connections: EndpointConnections;
	readonly headerNames: HeaderNames;
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	readonly requestId: string;
	/** The version of the weights that `headers` name. @default null */
	readonly requestedVersion?: number | null;
	readonly body: Buffer | null;
	readonly requiresFreshConnection: boolean;
	/** How long the endpoint may send nothing before the attempt fails. */
	readonly limits: AttemptLimits;
	/** The most bytes that a stream may have; any other answer may have `readLimits.answer`. @default readLimits.answer */
	readonly maxStreamBytes?: number;
	/** Bounds the complete answers that are held at once. @default not bounded */
	readonly answerBudget?: AnswerBudget;
	/** Time within which the answer must begin; after it the request may no longer start on the endpoint's weight version. `null` if there is no bound. */
	readonly beginWithinMs: number | null;
	readonly signal: AbortSignal;
	/** Whether the end of the stream is passed on as a last chunk, because another endpoint began it in chunks. @default it is not */
	endsInChunk?(): boolean;
	/** Whether the endpoint is expected to exit, so that its exit behind an answer doesn't tell that the answer is incomplete. @default it is not */
	isExitExpected?(): boolean;
	/** Why the request must not be sent to the endpoint now; `null` if it may be. Called when the connection is ready, because the rules and the endpoint's weights may change while it is established. */
	exclusion(): SendExclusion | null;
	/** Called when the head of an answer to this request arrives, also if it is a refusal. */
	onHead(head: AnswerHead): void;
	/** Called when the first byte of an answer arrives that is not a refusal. */
	onFirstByte(head: AnswerHead): void;
	/** Called with complete events of a stream. */
	onEvents(head: AnswerHead, events: Buffer, lastId: string | null): void;
	/** Called when bytes of an answer arrive that is neither a refusal nor a server error. */
	onProgress?(): void;
};

/**
 * Why an attempt broke. `disconnected`: the endpoint's side closed the connection,
 * as it does when the process exits. `silent`: a timeout expired here. `unreadable`:
 * the bytes received are not an answer to this request. `outdated`: the request had
 * not started when the weight version of the endpoint became outdated. `oversized`: more
 * bytes arrived than an answer may have. `unconfirmed`: a resumed stream ended without a
 * length, and the caller was promised a last chunk.
 */
export type FailureCause = 'disconnected' | 'silent' | 'unreadable' | 'outdated' | 'oversized' | 'unconfirmed';

/** What exceeded its bound: the head of an answer, informational answers before it, one event, the extension of a chunk, the body, or all bodies held at once. */
export type OversizedPart = 'head' | 'informational' | 'event' | 'chunkExtension' | 'body' | 'allBodies';

/** Bytes that an endpoint sent beyond a bound. */
export type Oversize = {
	readonly part: OversizedPart;
	/** Bytes of the answer's body so far. */
	readonly receivedBytes: number;
	/** Since the request was sent. */
	readonly tookMs: number;
};

/**
 * Result of an attempt. `unsent`, `excluded` and `refused` prove that the request did not run at
 * the endpoint; after `broken` it may have run.
 */
export type AttemptResult
	= | {readonly type: 'answered'; readonly head: AnswerHead; readonly body: Buffer; /** Time since the answer began. */ readonly answeringMs: number}
		| {readonly type: 'streamed'; readonly head: AnswerHead; readonly answeringMs: number}
		| {readonly type: 'refused'; readonly head: AnswerHead; readonly requestedVersion: number | null}
		| {readonly type: 'unsent'; readonly reason: string; /** The host is reachable, but nothing listens on the port. */ readonly isRefused: boolean}
		| {
			readonly type: 'broken'; readonly cause: FailureCause; readonly reason: string; readonly stage: AnswerStage;
			/** 0 if it had not begun. */
			readonly answeringMs: number;
			/** `null` unless the cause is `oversized`. */
			readonly oversize: Oversize | null;
		}
		/** Nothing was sent, because the request must not be sent to this endpoint any more. */
		| {readonly type: 'excluded'; readonly exclusion: SendExclusion}
		| {readonly type: 'aborted'; readonly hasEvents: boolean};

/** Ten times the one-way latency between regions; a lost SYN packet is retransmitted only after 1 s. */
const connectTimeoutMs = 300;
/** Interval of the checks for fresh reports, and for another endpoint, while an endpoint sends nothing. */
const silenceCheckMs = 150;
/** Time within which the body of a refusal must have arrived so that its connection can be used again. */
const refusalBodyMs = 250;

/** Errors of the HTTP parser at its own bounds. */
const oversizedByCode: Readonly<Record<string, OversizedPart>> = {HPE_HEADER_OVERFLOW: 'head', HPE_CHUNK_EXTENSIONS_OVERFLOW: 'chunkExtension'};

/** Whether the HTTP parser rejected the bytes received. */
const isParserError = ({code = ''}: NodeJS.ErrnoException): boolean => code.startsWith('HPE_');

const isConnectionRefused = ({code}: NodeJS.ErrnoException): boolean => code === 'ECONNREFUSED';

const isEventStream = ({headers}: http.IncomingMessage): boolean => (headers['content-type'] ?? '').startsWith('text/event-stream');

/** Sends a request to one endpoint and reads its answer to the end. */
export const sendAttempt = async (options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
	const {
		connections, headerNames, address, method, path, headers, requestId, requestedVersion = null, body, requiresFreshConnection, limits, beginWithinMs, signal,
		maxStreamBytes = readLimits.answer, answerBudget = unlimitedAnswers, exclusion, endsInChunk = () => false, isExitExpected = () => false, onHead, onFirstByte, onEvents, onProgress,
	} = options;
	/** All events may have been sent before, so that none is left. */
	const isResumed = headers[headerNames.lastEventId] !== undefined;
	let isSettled = false;
	let isConnected = false;
	let hasEvents = false;
	let answer: http.IncomingMessage | null = null;
	let answeredAtMs: number | null = null;
	let receivedBytes = 0;
	/** Memory of the answer that counts in `answerBudget`. */
	let heldBytes = 0;
	const sentAtMs = performance.now();
	let isFailingOver = false;
	/** Whether the answer has ended, and only the endpoint's process is still checked. */
	let hasEnded = false;
	/** Whether the end of an answer without a length was a reset of its connection. */
	let wasReset = async (): Promise<boolean> => false;
	let silenceTimer: NodeJS.Timeout | null = null;
	let connectTimer: NodeJS.Timeout | null = null;
	let beginTimer: NodeJS.Timeout | null = null;

	const settle = (result: AttemptResult): void => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		answerBudget.release(heldBytes);
		clearTimeout(silenceTimer ?? undefined);
		clearTimeout(connectTimer ?? undefined);
		clearTimeout(beginTimer ?? undefined);
		signal.removeEventListener('abort', onAbort);
		resolve(result);
	};

	/**
	 * Resets the connection, which drops request bytes that are still in transit. A
	 * regular close would deliver them first, over a slow link seconds later, and the
	 * endpoint would run the request without a caller, or on an outdated weight version.
	 */
	const abandon = (result: AttemptResult): void => {
		if (isSettled) {
			// The connection may already be in use by another request.
			return;
		}

		settle(result);
		request.socket?.resetAndDestroy();
		request.destroy();
	};

	const onAbort = (): void => {
		abandon({type: 'aborted', hasEvents});
	};

	const stage = (): AnswerStage => {
		if (hasEvents) {
			return 'answering';
		}

		return answer === null ? 'waiting' : 'begun';
	};

	const answeringMs = (): number => answeredAtMs === null ? 0 : performance.now() - answeredAtMs;

	const fail = (cause: FailureCause, reason: string, isRefused = false): void => {
		if (!isConnected) {
			abandon({type: 'unsent', reason, isRefused});
			return;
		}

		abandon({
			type: 'broken', cause, reason, stage: stage(), answeringMs: answeringMs(), oversize: null,
		});
	};

	const failOversized = (part: OversizedPart, reason: string): void => {
		abandon({
			type: 'broken', cause: 'oversized', reason, stage: stage(), answeringMs: answeringMs(),
			oversize: {part, receivedBytes, tookMs: Math.round(performance.now() - sentAtMs)},
		});
	};

	/** `extendedUntilMs`: until then the timeout is extended while the endpoint's host reports on it. */
	const startSilenceTimer = (silenceMs: number | null, extendedUntilMs = 0): void => {
		clearTimeout(silenceTimer ?? undefined);
		silenceTimer = null;
		if (silenceMs === null) {
			return;
		}

		silenceTimer = setTimeout(() => {
			const extensionMs = extendedUntilMs - performance.now();
			if (extensionMs > 0 && limits.isReported()) {
				startSilenceTimer(Math.min(extensionMs, silenceCheckMs), extendedUntilMs);
				return;
			}

			silenceTimer = null;
			if (!isFailingOver) {
				void failOver(extendedUntilMs);
			}
		}, silenceMs);
	};

	/** Ends the attempt if another endpoint takes over; until then, this one may still answer. */
	const failOver = async (extendedUntilMs: number): Promise<void> => {
		isFailingOver = true;
		const isTaken = await limits.failOver();
		isFailingOver = false;
		if (isTaken) {
			connections.closeIdle(address);
			fail('silent', 'the endpoint was silent for longer than the timeout');
		} else if (!isSettled && silenceTimer === null) {
			startSilenceTimer(silenceCheckMs, extendedUntilMs);
		}
	};

	/** Ends the attempt before its first byte is written if the request must not be sent here any more. */
	const checkPermission = (): void => {
		const excluded = exclusion();
		if (excluded !== null) {
			abandon({type: 'excluded', exclusion: excluded});
		}
	};

	const request = connections.open({
		address, method, path, headers, requiresFreshConnection,
	});
	request.on('socket', socket => {
		isConnected = !socket.connecting;
		if (isConnected) {
			checkPermission();
			return;
		}

		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(connectTimer ?? undefined);
			checkPermission();
		});
		connectTimer = setTimeout(() => {
			fail('silent', `no connection within ${connectTimeoutMs} ms`);
		}, connectTimeoutMs);
	});
	request.on('error', error => {
		// Ignores parse errors caused by bytes after a complete answer; those belong to no request.
		const oversizedPart = oversizedByCode[(error as NodeJS.ErrnoException).code ?? ''];
		if (answer?.complete !== true && oversizedPart !== undefined) {
			failOversized(oversizedPart, error.message);
		} else if (answer?.complete !== true) {
			fail(isParserError(error) ? 'unreadable' : 'disconnected', error.message, isConnectionRefused(error));
		}
	});
	limitInformationalAnswers(request, () => {
		failOversized('informational', `the endpoint sent more than ${readLimits.informationalAnswers} informational answers`);
	});
	const receive = (response: http.IncomingMessage): void => {
		answer = response;
		answeredAtMs = performance.now();
		const head: AnswerHead = {status: response.statusCode!, headers: response.headers};
		const echoed = response.headers[headerNames.requestId];
		if (echoed === undefined ? head.status < 300 : echoed !== requestId) {
			// A late or duplicate answer to another request arrived in place of this request's answer.
			fail('unreadable', `the answer is to request ${String(echoed)}`);
			return;
		}

		if (isUnframed(head)) {
			wasReset = watchForReset(response.socket);
		}

		onHead(head);
		const isRefused = response.headers[headerNames.notRun] !== undefined || head.status === 421;
		const isFailure = isRefused || head.status >= 500;
		if (!isFailure) {
			onProgress?.();
		}

		if (!isRefused) {
			onFirstByte(head);
		}

		if (isRefused) {
			settle({type: 'refused', head, requestedVersion});
			discardBody(response);
		} else if (head.status === 200 && isEventStream(response)) {
			followEvents(response, head);
		} else {
			collectBody(response, head);
		}
	};

	listenForAnswer(request, {
		onAnswer: receive,
		onInvalid(reason) {
			fail('unreadable', reason);
		},
	});

	/** Counts received bytes of the body; `false` if there are too many, and the attempt has failed. */
	const addReceived = (sizeBytes: number, maxBytes: number): boolean => {
		recordAllocatedBytes(sizeBytes);
		receivedBytes += sizeBytes;
		if (receivedBytes <= maxBytes) {
			return true;
		}

		failOversized('body', `the answer is larger than ${maxBytes} bytes`);
		return false;
	};

	/** The head of a refusal says all; the connection is closed if the rest takes longer than another connection would. */
	const discardBody = (response: http.IncomingMessage): void => {
		const timer = setTimeout(() => {
			response.destroy();
		}, refusalBodyMs);
		response.on('data', (part: Buffer) => {
			receivedBytes += part.length;
			if (receivedBytes > readLimits.refusal) {
				response.destroy();
			}
		});
		response.on('error', ignore);
		response.once('close', () => {
			clearTimeout(timer);
		});
	};

	const followEvents = (response: http.IncomingMessage, head: AnswerHead): void => {
		const splitter = createEventSplitter();
		response.on('data', (part: Buffer) => {
			if (isSettled || !addReceived(part.length, maxStreamBytes)) {
				return;
			}

			onProgress?.();
			const events = splitter.push(part);
			if (splitter.pendingBytes() > readLimits.event) {
				failOversized('event', `an event is larger than ${readLimits.event} bytes`);
			} else if (events !== null) {
				hasEvents = true;
				clearTimeout(beginTimer ?? undefined);
				startSilenceTimer(limits.pauseMs);
				onEvents(head, events, splitter.lastId());
			}
		});
		response.on('end', () => {
			if (!response.complete || splitter.pendingBytes() > 0) {
				fail('disconnected', 'the stream ended in the middle of an event');
			} else if (isUnframed(head) && !hasEvents && !isResumed) {
				fail('disconnected', 'the stream ended before its first event');
			} else if (isUnframed(head) && endsInChunk()) {
				fail('unconfirmed', 'a resumed stream ended without a length');
			} else {
				void settleEnded({type: 'streamed', head, answeringMs: answeringMs()});
			}
		});
		response.on('error', error => {
			fail('disconnected', error.message);
		});
		response.on('close', () => {
			if (!hasEnded) {
				fail('disconnected', 'the stream was incomplete');
			}
		});
	};

	/**
	 * Settles an answer that ended as its framing says. Without a length, the exit of the
	 * endpoint's process ends it in the same way, and so nothing listens there any more.
	 */
	const settleEnded = async (result: Extract<AttemptResult, {type: 'answered' | 'streamed'}>): Promise<void> => {
		hasEnded = true;
		startSilenceTimer(null);
		const {head} = result;
		const mayBeCut = isUnframed(head) && hasBody(method, head.status);
		if (mayBeCut && await wasReset()) {
			fail('disconnected', 'the connection was reset');
		} else if (mayBeCut && !isExitExpected() && await isRefusingConnections(address)) {
			fail('disconnected', 'the endpoint exited at the end of an answer without a length');
		} else {
			settle(result);
		}
	};

	/** Counts the memory of the answer in `answerBudget`; `false` if there is no room for it. */
	const holdAnswer = (sizeBytes: number): boolean => {
		if (!answerBudget.reserve(sizeBytes - heldBytes)) {
			return false;
		}

		heldBytes = sizeBytes;
		return true;
	};

	const collectBody = (response: http.IncomingMessage, head: AnswerHead): void => {
		const collector = createBodyCollector();
		if (hasBody(method, head.status) && Number(head.headers['content-length'] ?? 0) > readLimits.answer) {
			failOversized('body', `the answer is larger than ${readLimits.answer} bytes, by its length`);
			return;
		}

		response.on('data', (part: Buffer) => {
			if (isSettled || !addReceived(part.length, readLimits.answer)) {
				return;
			}

			if (collector.add(part) && !holdAnswer(collector.heldBytes())) {
				failOversized('allBodies', 'too many bytes of answers are held at once');
			}
		});
		response.on('end', () => {
			if (response.complete) {
				void settleEnded({
					type: 'answered', head, body: collector.take(), answeringMs: answeringMs(),
				});
			} else {
				fail('disconnected', 'the answer was incomplete');
			}
		});
		response.on('error', error => {
			fail('disconnected', error.message);
		});
		response.on('close', () => {
			if (!hasEnded) {
				fail('disconnected', 'the answer was incomplete');
			}
		});
	};

	startSilenceTimer(limits.firstByteMs, performance.now() + (limits.maxFirstByteMs ?? 0));
	if (beginWithinMs !== null) {
		beginTimer = setTimeout(() => {
			fail('outdated', 'it may no longer begin on these weights');
		}, beginWithinMs);
	}

	signal.addEventListener('abort', onAbort);
	if (signal.aborted) {
		onAbort();
		return;
	}

	request.end(body ?? undefined);
});
