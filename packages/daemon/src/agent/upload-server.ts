import type http from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {admitUpload, finishUpload} from '@bitternpaddle/coordination';
import {hostHeader} from '@bitternpaddle/protocol';
import {sendJson} from '@bitternpaddle/transport';
import {retryAfterMsHeader} from './fetch-chunk.js';
import type {TransferLinks} from './transfer-links.js';

export type UploadServerOptions = {
	readonly links: TransferLinks;
	/** Bytes per write; larger writes queue ahead of the endpoint's own traffic on the same link. @default 65536 */
	readonly maxWriteBytes?: number;
	readChunk(manifestId: string, chunk: number): Promise<Uint8Array | null>;
};

export const chunksPrefix = '/chunks';

const defaultWriteBytes = 64 * 1024;
/** A receiver that reads nothing for this long loses its upload slot. */
const receiverIdleMs = 10_000;
const busyRetryMs = 50;

/** Serves `GET /chunks/MANIFEST/INDEX` to peers: few uploads at a time, paced by the link's budget. */
export const createUploadServer = ({links, readChunk, maxWriteBytes = defaultWriteBytes}: UploadServerOptions) => {
	const {uploads} = links;
	let lastSend: Promise<void> = Promise.resolve();

	/** Sends chunks one after another, so that each is complete at its receiver as early as possible. */
	const sendSequentially = async (response: http.ServerResponse, data: Uint8Array): Promise<void> => {
		const previousSend = lastSend;
		let markSent = (): void => undefined;
		lastSend = new Promise(resolve => {
			markSent = resolve;
		});
		await previousSend;
		try {
			for (let offset = 0; offset < data.length && !response.destroyed; offset += maxWriteBytes) {
				const part = data.subarray(offset, offset + maxWriteBytes);
				await links.throttleOutgoing(part.length);
				// Does not wait for a slow receiver, which would delay all others. The upload slots bound the buffered bytes.
				response.write(part);
				await nextTurn();
			}
		} finally {
			markSent();
		}

		response.end();
	};

	return async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
		const [manifestId = '', chunk] = request.url!.split('/').slice(2);
		const peer = String(request.headers[hostHeader] ?? request.socket.remoteAddress);
		if (!admitUpload(uploads, peer)) {
			sendJson(response, 503, {error: {type: 'busy', message: 'all upload slots are in use'}}, {[retryAfterMsHeader]: String(busyRetryMs)});
			return;
		}

		const closed = new Promise<void>(resolve => {
			response.once('close', resolve);
		});
		void closed.then(() => {
			finishUpload(uploads, peer);
		});
		const data = await readChunk(manifestId, Number(chunk));
		if (data === null) {
			sendJson(response, 404, {error: {type: 'not_found', message: `chunk ${chunk} is not held`}});
			return;
		}

		response.setTimeout(receiverIdleMs, () => {
			response.destroy();
		});
		response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': data.length});
		await sendSequentially(response, data);
	};
};
