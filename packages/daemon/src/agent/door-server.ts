import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {
	admitAtDoor, finishAtDoor, type DoorState,
} from '@bitternpaddle/coordination';
import {
	endMarkerTrailer, hostHeader, idempotencyKeyHeader, requestIdHeader, revisionHeader, verdictHeader, versionHeader, type EndMarker,
} from '@bitternpaddle/protocol';
import {
	readBody, sendHttp, sendJson, TransportError,
} from '@bitternpaddle/transport';
import type {ConfigurationClient} from '../host/configuration-client.js';

export const doorPrefix = '/door';

export type DoorServerOptions = {
	readonly hostId: string;
	readonly door: DoorState;
	readonly configuration: ConfigurationClient;
	readonly endpointAddress: string;
	readonly kind: 'engine' | 'plain';
	readonly readyVersionId: () => string | null;
	readonly readyDigest: () => string | null;
	/** Called when a request has ended, whatever way. */
	onIdle(): void;
};

const bodyLimitBytes = 8 * 1024 * 1024;
const catchUpMs = 2000;
const endpointIdleTimeoutMs = 120_000;

/** Refuses in a way that proves to the entry that nothing ran. */
const refuse = (response: http.ServerResponse, reason: string): void => {
	sendJson(response, 503, {error: {type: 'not_run', message: reason}}, {[verdictHeader]: 'notRun'});
};

/** The one way to the endpoint: every request passes here, and each at most once. */
export const createDoorHandler = (options: DoorServerOptions) => {
	const {hostId, door, configuration, endpointAddress, kind, readyVersionId, readyDigest, onIdle} = options;

	/** Why the request may not start now, or `null`. */
	const objection = async (request: http.IncomingMessage): Promise<string | null> => {
		const wantedRevision = Number(request.headers[revisionHeader] ?? 0);
		if (!await configuration.reach(wantedRevision, catchUpMs)) {
			return 'the host is behind the configuration';
		}

		if (!configuration.hasLease()) {
			return 'the host has lost contact with control';
		}

		const status = configuration.catalog().hosts[hostId]?.status;
		if (status !== 'serving') {
			return `the host is ${status ?? 'not known'}`;
		}

		const wantedVersionId = request.headers[versionHeader];
		if (kind === 'engine' && wantedVersionId !== readyVersionId()) {
			return `the host serves ${readyVersionId() ?? 'nothing'}`;
		}

		return null;
	};

	const forward = async (request: http.IncomingMessage, response: http.ServerResponse, requestId: string, body: Buffer): Promise<void> => {
		const versionId = readyVersionId();
		const digest = readyDigest();
		let answer: http.IncomingMessage;
		try {
			answer = await sendHttp({
				address: endpointAddress, method: request.method, path: request.url!.slice(doorPrefix.length), body, idleTimeoutMs: endpointIdleTimeoutMs,
				headers: forwardedHeaders(request, requestId),
			});
		} catch (error) {
			const isUnsent = error instanceof TransportError && error.isUnsent;
			finishAtDoor(door, requestId, isUnsent ? 'notRun' : 'ran');
			if (isUnsent) {
				refuse(response, 'the endpoint refuses connections');
			} else {
				sendJson(response, 502, {error: {type: 'may_have_run', message: `the endpoint failed: ${(error as Error).message}`}}, {[verdictHeader]: 'mayHaveRun'});
			}

			return;
		}

		const isForeign = answer.headers['x-request-id'] !== undefined && answer.headers['x-request-id'] !== requestId;
		const isOtherVersion = kind === 'engine' && answer.statusCode === 200 && answer.headers['x-engine-digest'] !== digest;
		if (isForeign || isOtherVersion) {
			answer.destroy();
			finishAtDoor(door, requestId, 'ran');
			const message = isForeign ? 'the endpoint answered another request' : 'the endpoint answered from other weights';
			sendJson(response, 502, {error: {type: 'may_have_run', message}}, {[verdictHeader]: 'mayHaveRun'});
			return;
		}

		await relay({
			answer, response, requestId, versionId,
		});
	};

	type RelayOptions = {
		readonly answer: http.IncomingMessage;
		readonly response: http.ServerResponse;
		readonly requestId: string;
		readonly versionId: string | null;
	};

	const relay = async ({answer, response, requestId, versionId}: RelayOptions): Promise<void> => {
		response.writeHead(answer.statusCode!, {
			'content-type': answer.headers['content-type'] ?? 'application/octet-stream',
			[requestIdHeader]: requestId, [verdictHeader]: 'ran', [hostHeader]: hostId, ...(versionId === null ? {} : {[versionHeader]: versionId}),
			trailer: endMarkerTrailer,
		});
		let sizeBytes = 0;
		try {
			for await (const part of answer as AsyncIterable<Buffer>) {
				sizeBytes += part.length;
				response.write(part);
			}
		} catch {
			response.destroy();
			finishAtDoor(door, requestId, 'ran');
			return;
		}

		finishAtDoor(door, requestId, 'ran');
		if (versionId !== readyVersionId()) {
			// The weights changed under the answer; without its end marker it does not pass for whole.
			response.destroy();
			return;
		}

		const marker: EndMarker = {requestId, sizeBytes, versionId};
		response.addTrailers({[endMarkerTrailer]: JSON.stringify(marker)});
		response.end();
	};

	return async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		const requestId = String(request.headers[requestIdHeader] ?? '');
		if (requestId === '') {
			sendJson(response, 400, {error: {type: 'invalid_request', message: `${requestIdHeader} is missing`}}, {[verdictHeader]: 'notRun'});
			return;
		}

		const body = await readBody(request, bodyLimitBytes);
		const reason = await objection(request);
		if (reason !== null) {
			refuse(response, reason);
			return;
		}

		const admission = admitAtDoor(door, requestId);
		if (admission.type === 'refuse') {
			if (admission.reason === 'duplicate') {
				sendJson(response, 409, {error: {type: 'may_have_run', message: 'this request has been here before'}}, {[verdictHeader]: 'mayHaveRun'});
			} else {
				refuse(response, `the door is ${admission.reason}`);
			}

			return;
		}

		try {
			await forward(request, response, requestId, body);
		} finally {
			onIdle();
		}
	};
};

const forwardedHeaders = (request: http.IncomingMessage, requestId: string): http.OutgoingHttpHeaders => {
	const key = request.headers[idempotencyKeyHeader];
	return {
		'content-type': request.headers['content-type'] ?? 'application/json', 'x-request-id': requestId,
		...(key === undefined ? {} : {[idempotencyKeyHeader]: key}),
	};
};
