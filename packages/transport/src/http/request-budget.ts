import type http from 'node:http';
import {ignore} from '../utils.js';
import {OverloadError, refuseRequest} from './overload.js';
import {createReadTurns} from './read-turns.js';

/** Measures one request while its body is read. */
export type RequestMeter = {
	/**
	 * Records a part of the body, and the memory that the body takes now, `null` if that has
	 * not changed. Throws `OverloadError` once the request has been refused.
	 */
	recordPart(sizeBytes: number, heldBytes: number | null): void;
	/** Records that the handler has the complete body; the request can no longer be refused. */
	complete(heldBytes: number): void;
	/** Records that the body is not kept. */
	giveUp(): void;
	/** Sets the callback for a request that is refused, or whose response ends, while its body is read; its sender may send no further part. */
	onStopped(stop: (error: Error) => void): void;
	isRefused(): boolean;
};

/** The limit that caused a refusal. */
export type RequestLimit = 'requests' | 'requestBytes' | 'fragmentedBodies';

export type RequestBudgetOptions = {
	/** Memory of the heads and bodies of all requests. */
	readonly maxBytes: number;
	/** Number of requests. */
	readonly maxRequests: number;
	/** Number of bodies in very small parts that are read at the same time. */
	readonly maxFragmented: number;
	/** Called when a request is refused. @default ignored */
	readonly onRefused?: (limit: RequestLimit, request: http.IncomingMessage) => void;
};

export type RequestBudget = {
	/** Begins to count a request; `null` if there is no room for it, and it was refused. `isQueued`: it waits behind another one on its connection. */
	open(request: http.IncomingMessage, response: http.ServerResponse, isQueued: boolean): RequestMeter | null;
	/** Refuses the request with an incomplete body that has been open for the longest; `false` if there is none. */
	refuseOldest(reason: string): boolean;
	heldBytes(): number;
};

/** `arriving`: the body has not been asked for; `reading`: it is being collected; `used`: the handler has it, and the request may have run. */
type RequestState = 'arriving' | 'reading' | 'used';

type OpenRequest = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	/** Memory counted for it. */
	heldBytes: number;
	readonly headBytes: number;
	state: RequestState;
	isRefused: boolean;
	/** Ends the reading of its body. */
	stop: (error: Error) => void;
	parts: number;
	partBytes: number;
};

/** Bodies larger than this leave a share of the budget to others. */
const smallRequestBytes = 98_304;
const largeShare = 7 / 8;
/** Share of the requests that may wait behind others on their connection. */
const queuedShare = 1 / 4;
/** What the blocks of a body may take beside its bytes, as a share and in bytes. A request that is alone is not refused for that. */
const blockShare = 1 / 8;
const blockBytes = 524_288;
/** Parts after which it is checked whether a body is fragmented. */
const checkedParts = 1024;
/** A body whose parts are smaller on average takes more time to parse than the rest of a request. */
const minMeanPartBytes = 512;

const refusedError = (): OverloadError => new OverloadError('the request was refused before its body had arrived completely');

const meters = new WeakMap<http.IncomingMessage, RequestMeter>();

/** The meter of a request received by a server with a request budget. */
export const bodyMeterOf = (message: http.IncomingMessage): RequestMeter | undefined => meters.get(message);

/** Whether a body consists of so many small parts that parsing it takes up the event loop. */
export const isFragmented = (parts: number, partBytes: number): boolean => parts >= checkedParts && partBytes < parts * minMeanPartBytes;

const headBytesOf = ({rawHeaders, url = ''}: http.IncomingMessage): number => rawHeaders.reduce((sum, text) => sum + text.length, url.length);

/** A request can be refused with certainty that it did not run while its body is not complete or not handed over. */
const isRefusable = ({state, request, response, isRefused}: OpenRequest): boolean => !isRefused && !response.headersSent && (state === 'reading' || (state === 'arriving' && !request.complete));

/**
 * Bounds the number of all requests, and the memory of their heads and bodies. Without the
 * bound, every connection could hold a body of the maximum size, and the process would be
 * killed for its memory use with every request it runs. Over the limit, the largest request whose body is not complete is
 * refused, so that a few large requests do not crowd out those of usual size.
 *
 * Bodies in very small parts are bounded in number as well and read in turns, because the
 * time to parse them depends on the number of their parts. The one that has been idle for
 * the longest is refused.
 */
export const createRequestBudget = ({maxBytes, maxRequests, maxFragmented, onRefused = () => undefined}: RequestBudgetOptions): RequestBudget => {
	const requests = new Set<OpenRequest>();
	const turns = createReadTurns();
	/** In the order of their latest parts. */
	const fragmented = new Set<OpenRequest>();
	let totalBytes = 0;
	let largeBytes = 0;

	const isLarge = (heldBytes: number): boolean => heldBytes > smallRequestBytes;

	const setHeld = (open: OpenRequest, heldBytes: number): void => {
		totalBytes += heldBytes - open.heldBytes;
		largeBytes += (isLarge(heldBytes) ? heldBytes : 0) - (isLarge(open.heldBytes) ? open.heldBytes : 0);
		open.heldBytes = heldBytes;
	};

	const release = (open: OpenRequest): void => {
		requests.delete(open);
		fragmented.delete(open);
		setHeld(open, 0);
	};

	const refuse = (open: OpenRequest, reason: string): void => {
		open.isRefused = true;
		release(open);
		open.stop(refusedError());
		refuseRequest(open.request, open.response, reason);
	};

	const largestRefusable = (): OpenRequest | undefined => {
		let largest: OpenRequest | undefined;
		for (const open of requests) {
			if (isRefusable(open) && open.heldBytes > (largest?.heldBytes ?? 0)) {
				largest = open;
			}
		}

		return largest;
	};

	const isOverLimit = (): boolean => requests.size > 1
		? totalBytes > maxBytes || largeBytes > maxBytes * largeShare
		: totalBytes > (maxBytes * (1 + blockShare)) + blockBytes;

	const refuseWhileOverLimit = (): void => {
		while (isOverLimit()) {
			const open = largestRefusable();
			// Where only the large ones take too much, refusing a small one does not help.
			if (open === undefined || (totalBytes <= maxBytes && !isLarge(open.heldBytes))) {
				return;
			}

			refuse(open, `the requests in progress already take more than ${maxBytes} bytes`);
			onRefused('requestBytes', open.request);
		}
	};

	const refuseWhileFragmented = (): void => {
		for (const open of fragmented) {
			if (fragmented.size <= maxFragmented) {
				return;
			}

			if (isRefusable(open)) {
				refuse(open, `the server already reads ${maxFragmented} bodies in very small parts`);
				onRefused('fragmentedBodies', open.request);
			} else {
				fragmented.delete(open);
			}
		}
	};

	const requireAccepted = (open: OpenRequest): void => {
		if (open.isRefused) {
			throw refusedError();
		}
	};

	const recordPart = (open: OpenRequest, sizeBytes: number, heldBytes: number | null): void => {
		requireAccepted(open);
		open.state = 'reading';
		open.parts++;
		open.partBytes += sizeBytes;
		if (heldBytes !== null) {
			setHeld(open, open.headBytes + heldBytes);
			refuseWhileOverLimit();
		}

		if (open.parts % checkedParts === 0 && isFragmented(open.parts, open.partBytes) && !open.isRefused) {
			fragmented.delete(open);
			fragmented.add(open);
			refuseWhileFragmented();
			turns.endTurn(open.request);
		}

		requireAccepted(open);
	};

	return {
		open(request, response, isQueued) {
			const headBytes = headBytesOf(request);
			const open: OpenRequest = {
				request, response, heldBytes: 0, headBytes, state: 'arriving', isRefused: false, stop: ignore, parts: 0, partBytes: 0,
			};
			requests.add(open);
			setHeld(open, headBytes);
			refuseWhileOverLimit();
			if (!open.isRefused && requests.size > maxRequests * (isQueued ? queuedShare : 1)) {
				refuse(open, `the server already has ${maxRequests} requests in progress`);
				onRefused('requests', request);
			}

			if (open.isRefused) {
				return null;
			}

			response.once('close', () => {
				release(open);
				open.stop(new Error('the connection was closed before the body was complete'));
			});
			const meter: RequestMeter = {
				recordPart(sizeBytes, heldBytes) {
					recordPart(open, sizeBytes, heldBytes);
				},
				complete(heldBytes) {
					open.state = 'used';
					fragmented.delete(open);
					if (requests.has(open)) {
						setHeld(open, headBytes + heldBytes);
					}
				},
				giveUp() {
					open.state = 'used';
					fragmented.delete(open);
					if (requests.has(open)) {
						setHeld(open, headBytes);
					}
				},
				onStopped(stop) {
					open.stop = stop;
				},
				isRefused: () => open.isRefused,
			};
			meters.set(request, meter);
			return meter;
		},
		refuseOldest(reason) {
			for (const open of requests) {
				if (isRefusable(open)) {
					refuse(open, reason);
					return true;
				}
			}

			return false;
		},
		heldBytes: () => totalBytes,
	};
};
