import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import type {Endpoint} from '@bitternpaddle/coordination';
import {
	attemptHeader, endMarkerSchema, endMarkerTrailer, idempotencyKeyHeader, requestIdHeader, revisionHeader, verdictHeader, versionHeader,
	type SettleResult,
} from '@bitternpaddle/protocol';
import {mayHaveRun, notRun, type UnansweredVerdict} from '@bitternpaddle/state';
import {
	callRpc, readBody, sendHttp, TransportError,
} from '@bitternpaddle/transport';

export type Attempt = {
	readonly endpoint: Endpoint;
	readonly requestId: string;
	readonly number: number;
	readonly revision: number;
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: Buffer;
	readonly idempotencyKey: string | null;
	readonly idleTimeoutMs: number;
	readonly signal: AbortSignal;
};

export type AttemptOutcome
	= | {readonly type: 'answer'; readonly answer: http.IncomingMessage}
		| {readonly type: 'verdict'; readonly verdict: UnansweredVerdict};

const settleTimeoutMs = 2000;

/** Sends a request to one endpoint's door and says what came of it. */
export const dispatch = async (attempt: Attempt): Promise<AttemptOutcome> => {
	const {endpoint, requestId, body, method, path, idleTimeoutMs, signal} = attempt;
	try {
		const answer = await sendHttp({
			address: endpoint.address, method, path: `/door${path}`, body, idleTimeoutMs, signal, headers: headersOf(attempt),
		});
		const verdict = answer.headers[verdictHeader];
		if (verdict === 'ran') {
			return {type: 'answer', answer};
		}

		const reason = messageOf(await readBody(answer, 65_536));
		return {type: 'verdict', verdict: verdict === 'notRun' ? notRun(reason) : mayHaveRun(reason)};
	} catch (error) {
		if (error instanceof TransportError && error.isUnsent) {
			return {type: 'verdict', verdict: notRun('the host refuses connections')};
		}

		return {type: 'verdict', verdict: await settle(endpoint.address, requestId)};
	}
};

/**
 * Asks the door on a new connection what became of a request whose connection
 * failed or fell silent. If it had not started, the door bars it from now on;
 * without that, a late arrival would run after the caller was told "not run".
 */
export const settle = async (address: string, requestId: string): Promise<UnansweredVerdict> => {
	try {
		const {type} = await callRpc<SettleResult>({
			address, method: 'agent.settle', params: {requestId}, timeoutMs: settleTimeoutMs, agent: false,
		});
		return type === 'notRun' ? notRun('the connection to the host was lost before the request started') : mayHaveRun('the connection to the host was lost after the request started');
	} catch {
		return mayHaveRun('the host was lost and cannot be asked');
	}
};

const headersOf = ({endpoint, requestId, number, revision, contentType, idempotencyKey}: Attempt): http.OutgoingHttpHeaders => ({
	'content-type': contentType,
	[requestIdHeader]: requestId,
	[attemptHeader]: number,
	[revisionHeader]: revision,
	...(endpoint.versionId === null ? {} : {[versionHeader]: endpoint.versionId}),
	...(idempotencyKey === null ? {} : {[idempotencyKeyHeader]: idempotencyKey}),
});

const messageOf = (body: Buffer): string => {
	try {
		return String((JSON.parse(body.toString()) as {error: {message: string}}).error.message);
	} catch {
		return 'the host refused the request';
	}
};

/** Whether the answer that has just ended is whole and belongs to this request. */
export const isWholeAnswer = (answer: http.IncomingMessage, requestId: string, sizeBytes: number): boolean => {
	const trailer = answer.trailers[endMarkerTrailer];
	if (!answer.complete || trailer === undefined) {
		return false;
	}

	const marker = endMarkerSchema.safeParse(JSON.parse(trailer));
	return marker.success
		&& marker.data.requestId === requestId
		&& marker.data.sizeBytes === sizeBytes
		&& marker.data.versionId === (answer.headers[versionHeader] ?? null);
};
