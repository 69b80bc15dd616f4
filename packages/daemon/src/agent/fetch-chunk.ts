import type http from 'node:http';
import {
	chooseSource, recordRateLimit, recordReached, recordUnreachable, type ChunkSource, type FailureReason, type WeightSource,
} from '@bitternpaddle/coordination';
import {hostHeader} from '@bitternpaddle/protocol';
import {chunkRange, type Manifest, type ManifestId} from '@bitternpaddle/state';
import {readBody, readLimits, sendHttp} from '@bitternpaddle/transport';
import type {TransferLinks} from './transfer-links.js';

/** How long to wait before the next request to a busy peer. */
export const retryAfterMsHeader = 'x-bitternpaddle-retry-after-ms';

export type WeightSources = Record<WeightSource, string | null>;

export type FetchChunkOptions = {
	readonly selfId: string;
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
	readonly chunk: number;
	readonly source: ChunkSource;
	/** Addresses of the origin and, if there is one, the weight store. */
	readonly sources: WeightSources;
	/** Address of the peer, if the source is a peer. */
	readonly peerAddress: string | undefined;
	readonly links: TransferLinks;
	readonly idleTimeoutMs: number;
	readonly signal: AbortSignal;
};

export type FetchOutcome
	= | {readonly type: 'data'; readonly data: Uint8Array}
		| {readonly type: 'failed'; readonly reason: FailureReason; readonly detail: string; readonly retryAfterMs?: number};

export const chunkPath = (manifestId: ManifestId, chunk: number): string => `/chunks/${manifestId}/${chunk}`;

const defaultRetryAfterMs = 1000;

/** Fetches one chunk; the caller verifies it. */
export const fetchChunk = async (options: FetchChunkOptions): Promise<FetchOutcome> => options.source.type === 'origin'
	? fetchFromSources(options)
	: fetchFromPeer(options);

const fetchFromPeer = async (options: FetchChunkOptions): Promise<FetchOutcome> => {
	const {selfId, manifestId, chunk, peerAddress, idleTimeoutMs, signal} = options;
	if (peerAddress === undefined) {
		return {type: 'failed', reason: 'unreachable', detail: 'the address of the peer is not known'};
	}

	try {
		const response = await sendHttp({
			address: peerAddress, path: chunkPath(manifestId, chunk), headers: {[hostHeader]: selfId}, idleTimeoutMs, signal,
		});
		if (response.statusCode === 200) {
			return {type: 'data', data: await readPaced(response, options)};
		}

		await readBody(response, readLimits.refusal);
		return response.statusCode === 503
			? {
				type: 'failed', reason: 'busy', detail: 'the peer is busy', retryAfterMs: Number(response.headers[retryAfterMsHeader] ?? 0),
			}
			: {type: 'failed', reason: response.statusCode === 404 ? 'missing' : 'unreachable', detail: `unexpected HTTP status ${response.statusCode}`};
	} catch (error) {
		return {type: 'failed', reason: 'unreachable', detail: (error as Error).message};
	}
};

/** Reads the body no faster than the link's budget allows; TCP flow control slows the sender. */
const readPaced = async (response: http.IncomingMessage, {manifest, chunk, links, signal}: FetchChunkOptions): Promise<Uint8Array> => {
	const {sizeBytes} = chunkRange(manifest, chunk);
	const data = new Uint8Array(sizeBytes);
	let offset = 0;
	for await (const part of response as AsyncIterable<Uint8Array>) {
		if (offset + part.length > sizeBytes) {
			throw new Error(`the response is larger than the ${sizeBytes} bytes of the chunk`);
		}

		data.set(part, offset);
		offset += part.length;
		await links.throttleIncoming(part.length, signal);
	}

	return data.subarray(0, offset);
};

/** Fetches from the origin, or immediately from the store if the origin fails. */
const fetchFromSources = async (options: FetchChunkOptions): Promise<FetchOutcome> => {
	const {links: {backoffs}, sources} = options;
	let outcome: FetchOutcome = {type: 'failed', reason: 'busy', detail: 'the origin and the store are in backoff'};
	for (let choice = chooseSource(backoffs, performance.now()); choice.type === 'ask'; choice = chooseSource(backoffs, performance.now())) {
		outcome = await fetchRange(options, sources[choice.source]!);
		if (outcome.type === 'data') {
			recordReached(backoffs, choice.source);
			return outcome;
		}

		if (options.signal.aborted) {
			return outcome;
		}

		if (outcome.retryAfterMs === undefined) {
			recordUnreachable(backoffs, choice.source, performance.now());
		} else {
			recordRateLimit(backoffs, choice.source, outcome.retryAfterMs, performance.now());
		}
	}

	const choice = chooseSource(backoffs, performance.now());
	return {...outcome, retryAfterMs: choice.type === 'wait' ? choice.waitMs : 0};
};

const fetchRange = async (options: FetchChunkOptions, address: string): Promise<FetchOutcome> => {
	const {manifestId, manifest, chunk, idleTimeoutMs, signal} = options;
	const {startByte, sizeBytes} = chunkRange(manifest, chunk);
	try {
		const response = await sendHttp({
			address, path: `/weights/${manifestId}`, headers: {range: `bytes=${startByte}-${startByte + sizeBytes - 1}`}, idleTimeoutMs, signal,
		});
		if (response.statusCode === 200 || response.statusCode === 206) {
			return {type: 'data', data: await readPaced(response, options)};
		}

		await readBody(response, readLimits.refusal);
		return response.statusCode === 429
			? {
				type: 'failed', reason: 'busy', detail: 'the source limits the request rate (HTTP status 429)', retryAfterMs: retryAfterMs(response),
			}
			: {type: 'failed', reason: response.statusCode === 404 ? 'missing' : 'unreachable', detail: `unexpected HTTP status ${response.statusCode}`};
	} catch (error) {
		return {type: 'failed', reason: 'unreachable', detail: (error as Error).message};
	}
};

/** Reads `Retry-After`, which HTTP gives in seconds. */
const retryAfterMs = ({headers}: http.IncomingMessage): number => {
	const seconds = Number(headers['retry-after']);
	return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : defaultRetryAfterMs;
};
