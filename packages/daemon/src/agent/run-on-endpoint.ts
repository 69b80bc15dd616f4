import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {mayHaveRun, notRun} from '@bitternpaddle/state';
import {sendHttp, TransportError} from '@bitternpaddle/transport';
import type {DoorRun} from './door-run.js';

export type EndpointCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	readonly body: Buffer;
};

export type EndpointRunnerOptions = {
	readonly endpointAddress: string;
	/** Bytes that an answer may run ahead of the entry that reads it. */
	readonly aheadBytes: number;
	/** What the endpoint serves, as known before the call; `null` for a plain service. */
	loaded(): LoadedVersion | null;
	/** Asks the endpoint, after the answer has ended, whether it still serves `loaded`. */
	isStillLoaded(loaded: LoadedVersion): Promise<boolean>;
};

export type LoadedVersion = {readonly versionId: string; readonly digest: string};

/** Runs an admitted request on the endpoint and fills the run's answer; never throws. */
export const createEndpointRunner = ({endpointAddress, aheadBytes, loaded, isStillLoaded}: EndpointRunnerOptions) => {
	/** Why an answer is not this request's, or `null`. */
	const faultOf = (answer: http.IncomingMessage, run: DoorRun, version: LoadedVersion | null): string | null => {
		const answeredId = answer.headers['x-request-id'];
		if (answeredId !== undefined && answeredId !== run.requestId) {
			return 'the endpoint answered another request';
		}

		const isOtherVersion = version !== null && answer.statusCode === 200 && answer.headers['x-engine-digest'] !== version.digest;
		return isOtherVersion ? 'the endpoint answered from other weights' : null;
	};

	const holdBack = async (run: DoorRun): Promise<void> => {
		while (run.buffer.endOffset() - run.readOffset > aheadBytes && !run.abort.signal.aborted) {
			run.isHeldBack = true;
			await run.nextChange();
		}

		if (run.isHeldBack) {
			run.isHeldBack = false;
			run.lastByteAtMs = performance.now();
		}
	};

	const read = async (answer: http.IncomingMessage, run: DoorRun, version: LoadedVersion | null): Promise<void> => {
		run.setHead({
			status: answer.statusCode!, contentType: answer.headers['content-type'] ?? 'application/octet-stream', versionId: version?.versionId ?? null,
		});
		for await (const part of answer as AsyncIterable<Buffer>) {
			run.push(part, performance.now());
			await holdBack(run);
		}

		// The weights may have changed under the answer; then it is of two versions and gets no end marker.
		if (version !== null && !(loaded()?.versionId === version.versionId && await isStillLoaded(version))) {
			run.fail(mayHaveRun('the weights changed under the answer'), performance.now());
			return;
		}

		run.complete(performance.now());
	};

	return async (run: DoorRun, {method, path, headers, body}: EndpointCall): Promise<void> => {
		const version = loaded();
		try {
			const answer = await sendHttp({
				address: endpointAddress, method, path, body, headers, idleTimeoutMs: 0, signal: run.abort.signal,
			});
			const fault = faultOf(answer, run, version);
			if (fault !== null) {
				// What else comes on this connection cannot be told apart either.
				answer.destroy();
				run.fail(mayHaveRun(fault), performance.now());
				return;
			}

			await read(answer, run, version);
		} catch (error) {
			const isUnsent = error instanceof TransportError && error.isUnsent;
			run.fail(isUnsent ? notRun('the endpoint refuses connections') : mayHaveRun(`the endpoint failed: ${reasonOf(run, error as Error)}`), performance.now());
		}
	};
};

const reasonOf = ({abort}: DoorRun, error: Error): string => abort.signal.aborted ? (abort.signal.reason as Error).message : error.message;
