import type http from 'node:http';
import {OverloadError, refuseRequest} from './overload.js';

/** Measures one request body while it is read. */
export type BodyMeter = {
	/**
	 * Records a part of the body, and the memory that the body takes now, `null` if that has
	 * not changed. Throws `OverloadError` once the request has been refused.
	 */
	recordPart(sizeBytes: number, heldBytes: number | null): void;
	/** Records that the body is complete and used from now on; the request can no longer be refused. */
	complete(heldBytes: number): void;
	/** Records that the body is not kept. */
	giveUp(): void;
	isRefused(): boolean;
};

export type BodyBudget = {
	open(request: http.IncomingMessage, response: http.ServerResponse): BodyMeter;
	/** Refuses the request with an incomplete body that has been open for the longest; `false` if there is none. */
	refuseOldest(reason: string): boolean;
	bufferedBytes(): number;
};

type OpenBody = {readonly request: http.IncomingMessage; readonly response: http.ServerResponse; sizeBytes: number; isReading: boolean; isUsed: boolean; isRefused: boolean};

const meters = new WeakMap<http.IncomingMessage, BodyMeter>();

/** The body meter of a request received by a server with a body budget. */
export const bodyMeterOf = (message: http.IncomingMessage): BodyMeter | undefined => meters.get(message);

/** A request can be refused with certainty that it did not run while its body is not complete or not handed over. */
const isIncomplete = ({
	request, response, isReading, isUsed, isRefused,
}: OpenBody): boolean => !isRefused && !isUsed && !response.headersSent && (isReading || !request.complete);

/**
 * Bounds the memory of all request bodies. Without the bound, every
 * connection could hold a body of the maximum size, and the process would be
 * killed for its memory use with every request it runs. Over the limit, the
 * request with the largest incomplete body is refused, so that a few large
 * requests do not crowd out those of usual size.
 */
export const createBodyBudget = (maxBufferedBytes: number): BodyBudget => {
	const bodies = new Set<OpenBody>();
	let totalBytes = 0;

	const release = (body: OpenBody): void => {
		bodies.delete(body);
		totalBytes -= body.sizeBytes;
		body.sizeBytes = 0;
	};

	const setSize = (body: OpenBody, sizeBytes: number): void => {
		if (bodies.has(body)) {
			totalBytes += sizeBytes - body.sizeBytes;
			body.sizeBytes = sizeBytes;
		}
	};

	const refuse = (body: OpenBody, reason: string): void => {
		body.isRefused = true;
		release(body);
		refuseRequest(body.response, reason);
	};

	const largestIncomplete = (): OpenBody | undefined => {
		let largest: OpenBody | undefined;
		for (const body of bodies) {
			if (isIncomplete(body) && body.sizeBytes > (largest?.sizeBytes ?? 0)) {
				largest = body;
			}
		}

		return largest;
	};

	const isOverLimit = (): boolean => totalBytes > maxBufferedBytes;

	const refuseWhileOverLimit = (): void => {
		while (isOverLimit()) {
			const body = largestIncomplete();
			if (body === undefined) {
				return;
			}

			refuse(body, `the server already buffers more than ${maxBufferedBytes} bytes of request bodies`);
		}
	};

	return {
		open(request, response) {
			const body: OpenBody = {
				request, response, sizeBytes: 0, isReading: false, isUsed: false, isRefused: false,
			};
			bodies.add(body);
			response.once('close', () => {
				release(body);
			});
			const meter: BodyMeter = {
				recordPart(_sizeBytes, heldBytes) {
					body.isReading = true;
					if (heldBytes !== null) {
						setSize(body, heldBytes);
						refuseWhileOverLimit();
					}

					if (body.isRefused) {
						throw new OverloadError('the request was refused before its body had arrived completely');
					}
				},
				complete(heldBytes) {
					body.isUsed = true;
					setSize(body, heldBytes);
				},
				giveUp() {
					body.isUsed = true;
					setSize(body, 0);
				},
				isRefused: () => body.isRefused,
			};
			meters.set(request, meter);
			return meter;
		},
		refuseOldest(reason) {
			for (const body of bodies) {
				if (isIncomplete(body)) {
					refuse(body, reason);
					return true;
				}
			}

			return false;
		},
		bufferedBytes: () => totalBytes,
	};
};
