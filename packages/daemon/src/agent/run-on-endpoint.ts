import type {Buffer} from 'node:buffer';
import type http from 'node:http';
import {endedUnder, mayHaveRun, notRun} from '@bitternpaddle/state';
import {isRefusingConnections, sendHttp, TransportError} from '@bitternpaddle/transport';
import type {DoorRun} from './door-run.js';

export type EndpointCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: http.OutgoingHttpHeaders;
	readonly body: Buffer;
	/** The adapter that must give the answer; `null` for the base alone. */
	readonly adapter: LoadedAdapter | null;
};

export type EndpointRunnerOptions = {
	readonly endpointAddress: string;
	/** Bytes that an answer may run ahead of the entry that reads it. */
	readonly aheadBytes: number;
	/** What the endpoint serves, as known before the call; `null` for a plain service. */
	loaded(): LoadedVersion | null;
	/** Asks the endpoint, after the answer has ended, whether it still serves `loaded`. */
	isStillLoaded(loaded: LoadedVersion, adapter: LoadedAdapter | null): Promise<boolean>;
};

export type LoadedVersion = {readonly versionId: string; readonly digest: string};

/** An adapter that the engine holds beside its base, as far as verified. */
export type LoadedAdapter = {
	/** `formatAdapterTag` of what was verified. */
	readonly tag: string;
	/** What callers write as the model, and engines know it by. */
	readonly name: string;
	readonly digest: string;
};

/** Runs an admitted request on the endpoint and fills the run's answer; never throws. */
export const createEndpointRunner = ({endpointAddress, aheadBytes, loaded, isStillLoaded}: EndpointRunnerOptions) => {
	/** Why an answer is not this request's, or `null`. */
	const faultOf = (answer: http.IncomingMessage, run: DoorRun, version: LoadedVersion | null, adapter: LoadedAdapter | null): string | null => {
		const answeredId = answer.headers['x-request-id'];
		if (answeredId !== undefined && answeredId !== run.requestId) {
			return 'the endpoint answered another request';
		}

		if (version === null || answer.statusCode !== 200) {
			return null;
		}

		if (answer.headers['x-engine-digest'] !== version.digest) {
			return 'the endpoint answered from other weights';
		}

		// An engine that lost its adapter may answer from the base alone, and look well doing it.
		return answer.headers['x-engine-adapter-digest'] === adapter?.digest ? null : 'the endpoint answered from another adapter, or without it';
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

	const read = async (answer: http.IncomingMessage, run: DoorRun, version: LoadedVersion | null, adapter: LoadedAdapter | null): Promise<void> => {
		run.setHead({
			status: answer.statusCode!, contentType: answer.headers['content-type'] ?? 'application/octet-stream', versionId: version?.versionId ?? null,
			...(adapter !== null && {adapterTag: adapter.tag}),
		});
		for await (const part of answer as AsyncIterable<Buffer>) {
			run.push(part, performance.now());
			await holdBack(run);
		}

		// The weights may have changed under the answer; then it is of two versions and gets no end marker.
		if (version !== null && !(loaded()?.versionId === version.versionId && await isStillLoaded(version, adapter))) {
			run.fail(mayHaveRun('the weights changed under the answer'), performance.now());
			return;
		}

		run.complete(performance.now());
	};

	return async (run: DoorRun, {method, path, headers, body, adapter}: EndpointCall): Promise<void> => {
		const version = loaded();
		try {
			const answer = await sendHttp({
				address: endpointAddress, method, path, body, headers, idleTimeoutMs: 0, signal: run.abort.signal,
			});
			if (adapter !== null && answer.statusCode === 404) {
				// It has no such model: nothing ran, and another host may have it.
				answer.destroy();
				run.fail(notRun('the engine does not hold the adapter'), performance.now());
				return;
			}

			const fault = faultOf(answer, run, version, adapter);
			if (fault !== null) {
				// What else comes on this connection cannot be told apart either.
				answer.destroy();
				run.fail(mayHaveRun(fault), performance.now());
				return;
			}

			await read(answer, run, version, adapter);
		} catch (error) {
			const isUnsent = error instanceof TransportError && error.isUnsent;
			const reason = `the endpoint failed: ${reasonOf(run, error as Error)}`;
			if (isUnsent) {
				run.fail(notRun('the endpoint refuses connections'), performance.now());
			} else if (!run.abort.signal.aborted && await isRefusingConnections(endpointAddress)) {
				run.fail(endedUnder(reason), performance.now());
			} else {
				run.fail(mayHaveRun(reason), performance.now());
			}
		}
	};
};

const reasonOf = ({abort}: DoorRun, error: Error): string => abort.signal.aborted ? (abort.signal.reason as Error).message : error.message;
