import type {Buffer} from 'node:buffer';
import {createHash, type Hash} from 'node:crypto';
import type http from 'node:http';
import {
	createAttempt, type AttemptEffect, type AttemptEvent, type AttemptState, type GiveUpCause,
} from '@bitternpaddle/coordination';
import {
	adapterHeader, endpointExitRefusal, endMarkerSchema, endMarkerTrailer, fullRefusal, incarnationHeader, refusalHeader, requestIdHeader, verdictHeader, type Issue, type AttemptResolution,
} from '@bitternpaddle/protocol';
import {mayHaveRun, notRun} from '@bitternpaddle/state';
import {
	callRpc, readBody, sendHttp, TransportError,
} from '@bitternpaddle/transport';
import type {Attempt} from './attempt.js';
import {attemptHeadersOf} from './attempt-headers.js';

const resolveTimeoutMs = 2000;
/** Shorter, so that an agent that is slow to resolve an attempt does not delay the response to a cancelled request. */
const cancelTimeoutMs = 500;
const maxRefusalBytes = 65_536;

/** State and open connection of a running attempt. */
export type RunningAttempt = {
	readonly attempt: Attempt;
	readonly state: AttemptState;
	readonly hash: Hash;
	connection: http.IncomingMessage | null;
	partIterator: AsyncIterator<Buffer> | null;
	lastPart: Buffer | null;
	/** The agent reported that the endpoint's process exited while it had the request. */
	hasEndpointExited: boolean;
};

export const createRunningAttempt = (attempt: Attempt): RunningAttempt => ({
	attempt, state: createAttempt(), hash: createHash('sha256'), connection: null, partIterator: null, lastPart: null, hasEndpointExited: false,
});

/** Effects that call the agent's request gate; the others are for the reader of the answer. */
export type GateEffect = Exclude<AttemptEffect, {type: 'passOn' | 'read' | 'finish'}>;

export const performEffect = async (running: RunningAttempt, effect: GateEffect): Promise<AttemptEvent> => {
	// Discards whatever still arrives on the previous connection.
	running.connection?.destroy();
	running.connection = null;
	const {attempt} = running;
	if (effect.type === 'settle') {
		return resolveAttempt(attempt, effect.isCancel);
	}

	return effect.type === 'send'
		? connect(running, {
			method: attempt.method, path: `/door${attempt.path}`, headers: attemptHeadersOf(attempt), body: attempt.body,
		})
		// Not a pooled connection: an idle one may be as unresponsive as the previous one.
		: connect(running, {
			path: `/answers/${encodeURIComponent(attempt.attemptId)}?offset=${effect.offset}`, headers: {[incarnationHeader]: attempt.endpoint.incarnation}, agent: false,
		});
};

type ConnectOptions = {
	readonly method?: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	readonly body?: Buffer;
	readonly agent?: false;
};

const connect = async (running: RunningAttempt, options: ConnectOptions): Promise<AttemptEvent> => {
	const {endpoint, suspectMs, signal, requestId} = running.attempt;
	try {
		const connection = await sendHttp({
			...options, address: endpoint.address, idleTimeoutMs: suspectMs, signal,
		});
		running.connection = connection;
		running.attempt.peers?.handleResponseHeaders(connection.headers);
		running.partIterator = (connection as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
		running.hasEndpointExited ||= connection.headers[refusalHeader] === endpointExitRefusal;
		const verdict = connection.headers[verdictHeader];
		if (verdict === 'ran') {
			return {type: 'head', isOwn: connection.headers[requestIdHeader] === requestId && isFromAdapter(running.attempt, connection.headers[adapterHeader])};
		}

		const reason = messageOf(await readBody(connection, maxRefusalBytes));
		return verdict === 'notRun'
			? {type: 'refused', verdict: notRun(reason), isFull: connection.headers[refusalHeader] === fullRefusal}
			: {type: 'refused', verdict: mayHaveRun(reason), isFull: false};
	} catch (error) {
		return lossEventOf(running, error as Error);
	}
};

/** Reads the next part of the answer into `lastPart`. */
export const readPart = async (running: RunningAttempt): Promise<AttemptEvent> => {
	try {
		const next = await running.partIterator!.next();
		if (next.done) {
			return {type: 'end', isWhole: isCompleteAnswer(running)};
		}

		running.lastPart = next.value;
		running.hash.update(next.value);
		return {type: 'part', sizeBytes: next.value.length};
	} catch (error) {
		return lossEventOf(running, error as Error);
	}
};

const lossEventOf = ({attempt: {signal}}: RunningAttempt, error: Error): AttemptEvent => signal.aborted
	? {type: 'gaveUp', cause: signal.reason as GiveUpCause}
	: {type: 'connectionLost', isUnsent: error instanceof TransportError && error.isUnsent, reason: error.message};

/**
 * Queries the agent's request gate on a new connection for the outcome of a
 * request whose connection failed or became silent. If the request has not
 * started, the gate bars it from then on; otherwise it could still arrive and
 * run after the caller was informed that it did not run.
 */
export const resolveAttempt = async ({endpoint, attemptId, issue}: Attempt, isCancel: boolean): Promise<AttemptEvent> => {
	try {
		const {type} = await callRpc<AttemptResolution>({
			address: endpoint.address, method: 'agent.settle', timeoutMs: isCancel ? cancelTimeoutMs : resolveTimeoutMs, agent: false,
			params: {
				attemptId, incarnation: endpoint.incarnation, issue, isCancel,
			},
		});
		return {type: 'settled', result: type};
	} catch {
		return {type: 'settleFailed'};
	}
};

const messageOf = (body: Buffer): string => {
	try {
		return String((JSON.parse(body.toString()) as {error: {message: string}}).error.message);
	} catch {
		return 'the host refused the request';
	}
};

/** Whether the answer that has just ended is complete and belongs to this request. */
const isCompleteAnswer = ({attempt, connection, state, hash}: RunningAttempt): boolean => {
	const {requestId, endpoint} = attempt;
	const trailer = connection!.trailers[endMarkerTrailer];
	if (!connection!.complete || trailer === undefined) {
		return false;
	}

	const marker = endMarkerSchema.safeParse(parseJson(trailer));
	return marker.success
		&& marker.data.requestId === requestId
		&& marker.data.sizeBytes === state.offset
		&& marker.data.versionId === endpoint.versionId
		&& isFromAdapter(attempt, marker.data.adapterTag)
		&& marker.data.digest === hash.digest('hex');
};

/** An answer of the base model in place of an adapter looks complete; only its tag shows the difference. */
const isFromAdapter = ({adapterTag = null}: Attempt, answeredTag: unknown): boolean => (answeredTag ?? null) === adapterTag;

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return null;
	}
};
