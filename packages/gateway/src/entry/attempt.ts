import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {AnswerStage} from '@bitternpaddle/coordination';
import type {HeaderNames} from '../link/request-protocol.js';
import type {AttemptLimits} from './attempt-limits.js';
import type {EndpointConnections} from './endpoint-connections.js';
import {createEventSplitter} from './event-splitter.js';

/** Head of an endpoint's answer. */
export type AnswerHead = {readonly status: number; readonly headers: http.IncomingHttpHeaders};

export type AttemptOptions = {
	readonly connections: EndpointConnections;
	readonly headerNames: HeaderNames;
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	readonly requestId: string;
	readonly body: Buffer | null;
	readonly isDelicate: boolean;
	/** Silence after which the attempt is given up. */
	readonly limits: AttemptLimits;
	/** The first byte must come within this, or the request may no longer begin there; `null`: any time. */
	readonly beginWithinMs: number | null;
	readonly signal: AbortSignal;
	/** The head of an answer to this request arrived, including refusals. */
	onHead(head: AnswerHead): void;
	/** The first byte of the answer arrived. */
	onFirstByte(head: AnswerHead): void;
	/** Whole events of a stream; `false` if the caller should be waited for. */
	onEvents(head: AnswerHead, events: Buffer, lastId: string | null): void;
};

/**
 * Why an attempt broke. `disconnected`: the other side ended the connection, as
 * it does when it dies. `silent`: given up here. `unreadable`: what came is not
 * the answer. `outdated`: it had not begun when its weights fell out of service.
 */
export type BreakCause = 'disconnected' | 'silent' | 'unreadable' | 'outdated';

/**
 * How an attempt ended. `unsent` and `refused` prove that the request did not
 * run there; after `broken` it may have run.
 */
export type AttemptResult
	= | {readonly type: 'answered'; readonly head: AnswerHead; readonly body: Buffer}
		| {readonly type: 'streamed'; readonly head: AnswerHead}
		| {readonly type: 'refused'; readonly head: AnswerHead; readonly body: Buffer}
		| {readonly type: 'unsent'; readonly reason: string; /** The host is up, and nothing listens there. */ readonly isRefused: boolean}
		| {readonly type: 'broken'; readonly cause: BreakCause; readonly reason: string; readonly stage: AnswerStage}
		| {readonly type: 'aborted'; readonly hasEvents: boolean};

/** Ten crossings between regions; an opening packet that is lost is sent again only after a second. */
const connectTimeoutMs = 300;
/** How often it is looked whether a silent endpoint is still reported on. */
const spareStepMs = 150;
/** Larger answers would fill a small host's memory; callers here get some kilobytes. */
const maxAnswerBytes = 16 * 1024 * 1024;

/** Bytes that are no answer in the protocol. */
const isParserError = ({code = ''}: NodeJS.ErrnoException): boolean => code.startsWith('HPE_');

const isRefusal = ({code}: NodeJS.ErrnoException): boolean => code === 'ECONNREFUSED';

const isEventStream = ({headers}: http.IncomingMessage): boolean => (headers['content-type'] ?? '').startsWith('text/event-stream');

/** Sends a request to one endpoint, and follows its answer to the end. */
export const sendAttempt = async (options: AttemptOptions): Promise<AttemptResult> => new Promise(resolve => {
	const {
		connections, headerNames, address, method, path, headers, requestId, body, isDelicate, limits, beginWithinMs, signal, onHead, onFirstByte, onEvents,
	} = options;
	let isSettled = false;
	let isConnected = false;
	let hasEvents = false;
	let answer: http.IncomingMessage | null = null;
	let stall: NodeJS.Timeout | null = null;
	let connecting: NodeJS.Timeout | null = null;
	let beginning: NodeJS.Timeout | null = null;

	const settle = (result: AttemptResult): void => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		clearTimeout(stall ?? undefined);
		clearTimeout(connecting ?? undefined);
		clearTimeout(beginning ?? undefined);
		signal.removeEventListener('abort', onAbort);
		resolve(result);
	};

	/**
	 * Resets the connection: what of the request is still on its way is dropped. A
	 * plain close would deliver it first, over a narrow link seconds later, and the
	 * endpoint would run it for nobody, or on weights that it may no longer begin on.
	 */
	const giveUp = (result: AttemptResult): void => {
		if (isSettled) {
			// Its connection may already carry another request.
			return;
		}

		settle(result);
		request.socket?.resetAndDestroy();
		request.destroy();
	};

	const onAbort = (): void => {
		giveUp({type: 'aborted', hasEvents});
	};

	const stage = (): AnswerStage => {
		if (hasEvents) {
			return 'answering';
		}

		return answer === null ? 'waiting' : 'begun';
	};

	const fail = (cause: BreakCause, reason: string, isRefused = false): void => {
		if (!isConnected) {
			giveUp({type: 'unsent', reason, isRefused});
			return;
		}

		giveUp({
			type: 'broken', cause, reason, stage: stage(),
		});
	};

	/** `sparedUntilMs`: an endpoint that its host reports on is waited for so long. */
	const watchSilence = (stallMs: number | null, sparedUntilMs = 0): void => {
		clearTimeout(stall ?? undefined);
		if (stallMs === null) {
			return;
		}

		stall = setTimeout(() => {
			const spareMs = sparedUntilMs - performance.now();
			if (spareMs > 0 && limits.isReported()) {
				watchSilence(Math.min(spareMs, spareStepMs), sparedUntilMs);
				return;
			}

			connections.distrust(address);
			fail('silent', 'silent for too long');
		}, stallMs);
	};

	const request = connections.open({
		address, method, path, headers, isDelicate,
	});
	request.on('socket', socket => {
		isConnected = !socket.connecting;
		if (isConnected) {
			return;
		}

		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(connecting ?? undefined);
		});
		connecting = setTimeout(() => {
			fail('silent', `no connection within ${connectTimeoutMs} ms`);
		}, connectTimeoutMs);
	});
	request.on('error', error => {
		// The parser may complain of bytes behind an answer that is whole: they belong to no request.
		if (answer?.complete !== true) {
			fail(isParserError(error) ? 'unreadable' : 'disconnected', error.message, isRefusal(error));
		}
	});
	request.on('response', response => {
		answer = response;
		const head: AnswerHead = {status: response.statusCode!, headers: response.headers};
		const echoed = response.headers[headerNames.requestId];
		if (echoed === undefined ? head.status < 300 : echoed !== requestId) {
			// An answer that came late or twice stands where this request's answer is due.
			fail('unreadable', `the answer is to request ${String(echoed)}`);
			return;
		}

		onHead(head);
		const isRefused = response.headers[headerNames.notRun] !== undefined || head.status === 421;
		if (!isRefused) {
			onFirstByte(head);
		}

		if (!isRefused && head.status === 200 && isEventStream(response)) {
			followEvents(response, head);
		} else {
			collect(response, head, isRefused);
		}
	});

	const followEvents = (response: http.IncomingMessage, head: AnswerHead): void => {
		const splitter = createEventSplitter();
		response.on('data', (part: Buffer) => {
			const events = splitter.push(part);
			if (events !== null && !isSettled) {
				hasEvents = true;
				clearTimeout(beginning ?? undefined);
				watchSilence(limits.pauseMs);
				onEvents(head, events, splitter.lastId());
			}
		});
		response.on('end', () => {
			if (response.complete && splitter.restBytes() === 0) {
				settle({type: 'streamed', head});
			} else {
				fail('disconnected', 'the stream ended within an event');
			}
		});
		response.on('error', error => {
			fail('disconnected', error.message);
		});
		response.on('close', () => {
			fail('disconnected', 'the stream was cut');
		});
	};

	const collect = (response: http.IncomingMessage, head: AnswerHead, isRefused: boolean): void => {
		const parts: Buffer[] = [];
		let sizeBytes = 0;
		response.on('data', (part: Buffer) => {
			sizeBytes += part.length;
			parts.push(part);
			if (sizeBytes > maxAnswerBytes) {
				fail('unreadable', `the answer is larger than ${maxAnswerBytes} bytes`);
			}
		});
		response.on('end', () => {
			if (response.complete) {
				settle({type: isRefused ? 'refused' : 'answered', head, body: Buffer.concat(parts)});
			} else {
				fail('disconnected', 'the answer was cut');
			}
		});
		response.on('error', error => {
			fail('disconnected', error.message);
		});
		response.on('close', () => {
			fail('disconnected', 'the answer was cut');
		});
	};

	watchSilence(limits.firstByteMs, performance.now() + (limits.longestFirstByteMs ?? 0));
	if (beginWithinMs !== null) {
		beginning = setTimeout(() => {
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
