import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	canonicalJson, createManifest, manifestIdOf, type Manifest, type ManifestId,
} from '@bitternpaddle/state';
import {createHttpServer, sendJson} from '@bitternpaddle/transport';

export type OriginFaults = {
	/** Corrupt a byte in every response with weights. */
	isCorrupting?: boolean;
	/** Corrupt a byte in every response with weights of this manifest. */
	corruptedManifestId?: string;
	/** Refuse every request. */
	isDown?: boolean;
};

export type FakeOriginOptions = {
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Bandwidth shared by all responses; without it responses are sent immediately. */
	readonly bytesPerSecond?: number;
	/** Requests per second above which requests are refused with 429, as by a weight store; without it there is no limit. */
	readonly requestsPerSecond?: number;
};

export type FakeOrigin = {
	readonly address: string;
	readonly faults: OriginFaults;
	/** Weight bytes sent so far. */
	readonly sentBytes: () => number;
	/** Requests refused with 429 so far. */
	readonly refusedRequests: () => number;
	/** Publishes weights at the origin and returns the id of their manifest. */
	publish(weights: Uint8Array, chunkSizeBytes: number, baseManifestId?: ManifestId): Promise<{manifestId: ManifestId; manifest: Manifest}>;
	close(): Promise<void>;
};

type Published = {readonly manifest: Manifest; readonly weights: Uint8Array};

/**
 * Creates an HTTP origin: `GET /manifests/ID` returns the manifest, `GET /weights/ID`
 * a byte range of the weights. With `requestsPerSecond` it is a rate-limited weight
 * store that responds with 429 and `Retry-After`.
 */
export const createFakeOrigin = async (options: FakeOriginOptions = {}): Promise<FakeOrigin> => {
	const {listen = '127.0.0.1:0', bytesPerSecond, requestsPerSecond} = options;
	const faults: OriginFaults = {};
	const published = new Map<string, Published>();
	let sentBytes = 0;
	let refusedRequests = 0;
	let linkFreeAtMs = 0;
	let windowStartMs = 0;
	let windowRequests = 0;

	const isOverRate = (): boolean => {
		const nowMs = Date.now();
		if (nowMs - windowStartMs >= 1000) {
			windowStartMs = nowMs;
			windowRequests = 0;
		}

		windowRequests++;
		return requestsPerSecond !== undefined && windowRequests > requestsPerSecond;
	};

	const waitForLink = async (sizeBytes: number): Promise<void> => {
		if (bytesPerSecond === undefined) {
			return;
		}

		linkFreeAtMs = Math.max(linkFreeAtMs, Date.now()) + (sizeBytes / bytesPerSecond * 1000);
		await delay(linkFreeAtMs - Date.now());
	};

	const sendWeights = async (request: http.IncomingMessage, response: http.ServerResponse, {weights, manifest}: Published): Promise<void> => {
		const range = /^bytes=(\d+)-(\d+)$/v.exec(String(request.headers.range ?? ''));
		if (range === null) {
			sendJson(response, 416, {error: 'a byte range is required'});
			return;
		}

		const start = Number(range[1]);
		const end = Math.min(Number(range[2]) + 1, weights.length);
		const data = weights.slice(start, end);
		await waitForLink(data.length);
		if (faults.isCorrupting === true || faults.corruptedManifestId === manifestIdOf(manifest)) {
			data[0] = 255 - data[0]!;
		}

		sentBytes += data.length;
		response.writeHead(206, {'content-length': data.length, 'content-range': `bytes ${start}-${end - 1}/${weights.length}`});
		response.end(data);
	};

	const server = await createHttpServer({
		listen,
		async handler(request, response) {
			const [, kind, id] = String(request.url).split('/');
			const found = published.get(decodeURIComponent(id ?? ''));
			if (faults.isDown) {
				response.destroy();
			} else if (isOverRate()) {
				refusedRequests++;
				sendJson(response, 429, {error: 'too many requests'}, {'retry-after': '1'});
			} else if (found === undefined) {
				sendJson(response, 404, {error: `nothing is published at ${request.url}`});
			} else if (kind === 'manifests') {
				sendJson(response, 200, found.manifest);
			} else {
				await sendWeights(request, response, found);
			}
		},
	});
	return {
		address: server.address,
		faults,
		sentBytes: () => sentBytes,
		refusedRequests: () => refusedRequests,
		async publish(weights, chunkSizeBytes, baseManifestId) {
			const manifest = await createManifest([weights], {chunkSizeBytes, baseManifestId});
			const manifestId = manifestIdOf(manifest);
			// Stored as parsed canonical JSON, so that the served manifest has the same id.
			published.set(manifestId, {manifest: JSON.parse(canonicalJson(manifest)) as Manifest, weights});
			return {manifestId, manifest};
		},
		async close() {
			server.destroy();
		},
	};
};
