import type {Buffer} from 'node:buffer';
import {createHash, type Hash} from 'node:crypto';
import type http from 'node:http';
import {
	createAttempt, type AttemptEffect, type AttemptEvent, type AttemptState, type GiveUpCause,
} from '@bitternpaddle/coordination';
import {
	adapterHeader, endedRefusal, endMarkerSchema, endMarkerTrailer, fullRefusal, incarnationHeader, refusalHeader, requestIdHeader, verdictHeader, type Issue, type SettleResult,
} from '@bitternpaddle/protocol';
import {mayHaveRun, notRun} from '@bitternpaddle/state';
import {
	callRpc, readBody, sendHttp, TransportError,
} from '@bitternpaddle/transport';
import type {Attempt} from './attempt.js';
import {doorHeadersOf} from './door-headers.js';

const settleTimeoutMs = 2000;
/** A request that is given up on gets its answer at once; an agent that is slow to settle does not hold it up. */
const lastSettleTimeoutMs = 500;
const refusalLimitBytes = 65_536;

/** What a running attempt has open. */
export type Running = {
	readonly attempt: Attempt;
	readonly state: AttemptState;
	readonly hash: Hash;
	connection: http.IncomingMessage | null;
	parts: AsyncIterator<Buffer> | null;
	lastPart: Buffer | null;
	/** The agent said that the endpoint's process ended under the request. */
	hasEndpointEnded: boolean;
};

export const createRunning = (attempt: Attempt): Running => ({
	attempt, state: createAttempt(), hash: createHash('sha256'), connection: null, parts: null, lastPart: null, hasEndpointEnded: false,
});

/** Effects that talk to the door; the others are for whoever reads the answer. */
export type DoorEffect = Exclude<AttemptEffect, {type: 'passOn' | 'read' | 'finish'}>;

export const carryOut = async (running: Running, effect: DoorEffect): Promise<AttemptEvent> => {
	// Whatever still comes on the connection before is nobody's.
	running.connection?.destroy();
	running.connection = null;
	const {attempt} = running;
	if (effect.type === 'settle') {
		return settle(attempt, effect.isCancel);
	}

	return effect.type === 'send'
		? connect(running, {
			method: attempt.method, path: `/door${attempt.path}`, headers: doorHeadersOf(attempt), body: attempt.body,
		})
		// An idle connection of the pool may be as silent as the one before.
		: connect(running, {
			path: `/answers/${encodeURIComponent(attempt.attemptId)}?offset=${effect.offset}`, headers: {[incarnationHeader]: attempt.endpoint.incarnation}, agent: false,
		});
};

type Connecting = {
	readonly method?: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	readonly body?: Buffer;
	readonly agent?: false;
};

const connect = async (running: Running, options: Connecting): Promise<AttemptEvent> => {
	const {endpoint, suspectMs, signal, requestId} = running.attempt;
	try {
		const connection = await sendHttp({
			...options, address: endpoint.address, idleTimeoutMs: suspectMs, signal,
		});
		running.connection = connection;
		running.attempt.peers?.note(connection.headers);
		running.parts = (connection as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
		running.hasEndpointEnded ||= connection.headers[refusalHeader] === endedRefusal;
		const verdict = connection.headers[verdictHeader];
		if (verdict === 'ran') {
			return {type: 'head', isOwn: connection.headers[requestIdHeader] === requestId && isFromAdapter(running.attempt, connection.headers[adapterHeader])};
		}

		const reason = messageOf(await readBody(connection, refusalLimitBytes));
		return verdict === 'notRun'
			? {type: 'refused', verdict: notRun(reason), isFull: connection.headers[refusalHeader] === fullRefusal}
			: {type: 'refused', verdict: mayHaveRun(reason), isFull: false};
	} catch (error) {
		return lossOf(running, error as Error);
	}
};

/** Reads the next part into `lastPart`. */
export const readPart = async (running: Running): Promise<AttemptEvent> => {
	try {
		const next = await running.parts!.next();
		if (next.done) {
			return {type: 'end', isWhole: isWhole(running)};
		}

		running.lastPart = next.value;
		running.hash.update(next.value);
		return {type: 'part', sizeBytes: next.value.length};
	} catch (error) {
		return lossOf(running, error as Error);
	}
};

const lossOf = ({attempt: {signal}}: Running, error: Error): AttemptEvent => signal.aborted
	? {type: 'gaveUp', cause: signal.reason as GiveUpCause}
	: {type: 'connectionLost', isUnsent: error instanceof TransportError && error.isUnsent, reason: error.message};

/**
 * Asks the door on a new connection what became of a request whose connection
 * failed or fell silent. If it had not started, the door bars it from now on;
 * without that, a late arrival would run after the caller was told "not run".
 */
export const settle = async ({endpoint, attemptId, issue}: Attempt, isCancel: boolean): Promise<AttemptEvent> => {
	try {
		const {type} = await callRpc<SettleResult>({
			address: endpoint.address, method: 'agent.settle', timeoutMs: isCancel ? lastSettleTimeoutMs : settleTimeoutMs, agent: false,
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

/** Whether the answer that has just ended is whole and belongs to this request. */
const isWhole = ({attempt, connection, state, hash}: Running): boolean => {
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

/** A base that answers in place of an adapter looks like a whole answer; only its tag tells. */
const isFromAdapter = ({adapterTag = null}: Attempt, answeredTag: unknown): boolean => (answeredTag ?? null) === adapterTag;

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return null;
	}
};
