import type {ChunkSource, FailureReason} from '@bitternpaddle/coordination';
import {chunkRange, type Manifest, type ManifestId} from '@bitternpaddle/state';
import {readBody, sendHttp} from '@bitternpaddle/transport';

export type FetchChunkOptions = {
	readonly manifestId: ManifestId;
	readonly manifest: Manifest;
	readonly chunk: number;
	readonly source: ChunkSource;
	readonly originAddress: string;
	/** Address of the peer, when the source is one. */
	readonly peerAddress: string | undefined;
	readonly idleTimeoutMs: number;
	readonly signal: AbortSignal;
};

export type FetchOutcome
	= | {readonly type: 'data'; readonly data: Uint8Array}
		| {readonly type: 'failed'; readonly reason: FailureReason; readonly detail: string};

export const chunkPath = (manifestId: ManifestId, chunk: number): string => `/chunks/${manifestId}/${chunk}`;

/** Fetches one chunk; the caller verifies it. */
export const fetchChunk = async (options: FetchChunkOptions): Promise<FetchOutcome> => {
	const {manifestId, manifest, chunk, source, originAddress, peerAddress, idleTimeoutMs, signal} = options;
	const {startByte, sizeBytes} = chunkRange(manifest, chunk);
	const address = source.type === 'origin' ? originAddress : peerAddress;
	if (address === undefined) {
		return {type: 'failed', reason: 'unreachable', detail: 'the peer has left'};
	}

	try {
		const response = await sendHttp({
			address,
			path: source.type === 'origin' ? `/weights/${manifestId}` : chunkPath(manifestId, chunk),
			headers: source.type === 'origin' ? {range: `bytes=${startByte}-${startByte + sizeBytes - 1}`} : {},
			idleTimeoutMs,
			signal,
		});
		const data = await readBody(response, sizeBytes + 1024);
		if (response.statusCode === 200 || response.statusCode === 206) {
			return {type: 'data', data};
		}

		return {type: 'failed', reason: response.statusCode === 404 ? 'missing' : 'unreachable', detail: `status ${response.statusCode}`};
	} catch (error) {
		return {type: 'failed', reason: 'unreachable', detail: (error as Error).message};
	}
};
