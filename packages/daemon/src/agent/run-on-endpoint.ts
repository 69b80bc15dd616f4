import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {endpointExited, mayHaveRun, notRun} from '@bitternpaddle/state';
import {
	isRefusingConnections, sendHttp, TransportError, watchForReset,
} from '@bitternpaddle/transport';
import type {EndpointRun} from './endpoint-run.js';

export type EndpointRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	readonly body: Buffer;
	/** The adapter that must produce the answer; `null` for the base alone. */
	readonly adapter: LoadedAdapter | null;
};

type AnswerContext = Pick<EndpointRequest, 'method' | 'adapter'> & {readonly version: LoadedVersion | null};

export type EndpointRunnerOptions = {
	readonly endpointAddress: string;
	/** Bytes that may be read from the endpoint ahead of the entry that reads the answer. */
	readonly maxReadAheadBytes: number;
	/** The version that the endpoint serves, as known before the call; `null` for a plain service. */
	loaded(): LoadedVersion | null;
	/** Checks with the endpoint, after the answer has ended, that it still serves `loaded`. */
	isStillLoaded(loaded: LoadedVersion, adapter: LoadedAdapter | null): Promise<boolean>;
};

export type LoadedVersion = {readonly versionId: string; readonly digest: string};

/** A verified adapter that is loaded in the engine in addition to its base. */
export type LoadedAdapter = {
	/** `formatAdapterTag` of what was verified. */
	readonly tag: string;
	/** The model name that callers send, which is also the engine's name for the adapter. */
	readonly name: string;
	readonly digest: string;
};

/** Runs an admitted request on the endpoint and writes its answer to the run; never throws. */
export const createEndpointRunner = ({endpointAddress, maxReadAheadBytes, loaded, isStillLoaded}: EndpointRunnerOptions) => {
	/** The reason why a response does not belong to this request, or `null`. */
	const responseMismatch = (answer: http.IncomingMessage, run: EndpointRun, version: LoadedVersion | null, adapter: LoadedAdapter | null): string | null => {
		const responseId = answer.headers['x-request-id'];
		if (responseId !== undefined && responseId !== run.requestId) {
			return 'the endpoint responded to another request id';
		}

		if (version === null || answer.statusCode !== 200) {
			return null;
		}

		if (answer.headers['x-engine-digest'] !== version.digest) {
			return 'the endpoint used weights with another digest';
		}

		// An engine that lost its adapter may generate from the base alone and still return a well-formed answer.
		return answer.headers['x-engine-adapter-digest'] === adapter?.digest ? null : 'the endpoint used another adapter or none';
	};

	const applyBackpressure = async (run: EndpointRun): Promise<void> => {
		while (run.buffer.endOffset() - run.readOffset > maxReadAheadBytes && !run.abort.signal.aborted) {
			run.isHeldBack = true;
			await run.nextChange();
		}

		if (run.isHeldBack) {
			run.isHeldBack = false;
			run.lastByteAtMs = performance.now();
		}
	};

	const readAnswer = async (answer: http.IncomingMessage, run: EndpointRun, {method, version, adapter}: AnswerContext): Promise<void> => {
		run.setHead({
			status: answer.statusCode!, contentType: answer.headers['content-type'] ?? 'application/octet-stream', versionId: version?.versionId ?? null,
			...(adapter !== null && {adapterTag: adapter.tag}),
		});
		const wasReset = mayBeCut(method, answer) ? watchForReset(answer.socket) : async () => false;
		for await (const part of answer as AsyncIterable<Buffer>) {
			run.push(part, performance.now());
			await applyBackpressure(run);
		}

		if (await wasReset()) {
			run.fail(mayHaveRun('the endpoint reset the connection of an answer without a length'), performance.now());
			return;
		}

		// Without a length, the exit of the endpoint ends its answer in the same way as its completion.
		if (mayBeCut(method, answer) && await isRefusingConnections(endpointAddress)) {
			run.fail(endpointExited('the endpoint exited at the end of an answer without a length'), performance.now());
			return;
		}

		// If the weights changed during the answer, it mixes two versions and gets no end marker.
		if (version !== null && !(loaded()?.versionId === version.versionId && await isStillLoaded(version, adapter))) {
			run.fail(mayHaveRun('the weights changed during the answer'), performance.now());
			return;
		}

		run.complete(performance.now());
	};

	return async (run: EndpointRun, {method, path, headers, body, adapter}: EndpointRequest): Promise<void> => {
		const version = loaded();
		try {
			const answer = await sendHttp({
				address: endpointAddress, method, path, body, headers, idleTimeoutMs: 0, signal: run.abort.signal,
			});
			if (adapter !== null && answer.statusCode === 404) {
				// The engine does not know the model: nothing ran, and another host may have the adapter.
				answer.destroy();
				run.fail(notRun('the engine does not have the adapter loaded'), performance.now());
				return;
			}

			const mismatch = responseMismatch(answer, run, version, adapter);
			if (mismatch !== null) {
				// Further responses on this connection could not be matched to requests either.
				answer.destroy();
				run.fail(mayHaveRun(mismatch), performance.now());
				return;
			}

			await readAnswer(answer, run, {method, version, adapter});
		} catch (error) {
			const wasNotSent = error instanceof TransportError && error.isUnsent;
			const reason = `the endpoint failed: ${reasonOf(run, error as Error)}`;
			if (wasNotSent) {
				run.fail(notRun('the endpoint refused the connection'), performance.now());
			} else if (!run.abort.signal.aborted && await isRefusingConnections(endpointAddress)) {
				run.fail(endpointExited(reason), performance.now());
			} else {
				run.fail(mayHaveRun(reason), performance.now());
			}
		}
	};
};

/** Statuses of answers without a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether only the end of its connection tells that the answer has ended. */
const mayBeCut = (method: string, {headers, statusCode}: http.IncomingMessage): boolean => method !== 'HEAD' && !bodilessStatuses.has(statusCode!)
	&& headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;

const reasonOf = ({abort}: EndpointRun, error: Error): string => abort.signal.aborted ? (abort.signal.reason as Error).message : error.message;
