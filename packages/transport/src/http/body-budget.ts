import type http from 'node:http';
import {OverloadError, refuseRequest} from './overload.js';

/** Counts the bytes of one request body while it is read. */
export type BodyMeter = {
	/** Throws `OverloadError` once the request has been refused. */
	add(sizeBytes: number): void;
	isRefused(): boolean;
};

export type BodyBudget = {
	open(request: http.IncomingMessage, response: http.ServerResponse): BodyMeter;
	/** Refuses the request with an incomplete body that has been open for the longest; `false` if there is none. */
	refuseOldest(reason: string): boolean;
	bufferedBytes(): number;
};

type OpenBody = {readonly request: http.IncomingMessage; readonly response: http.ServerResponse; sizeBytes: number; isRefused: boolean};

const meters = new WeakMap<http.IncomingMessage, BodyMeter>();

/** The body meter of a request received by a server with a body budget. */
export const bodyMeterOf = (message: http.IncomingMessage): BodyMeter | undefined => meters.get(message);

/** Only a request that has not completely arrived can be refused with certainty that it did not run. */
const isIncomplete = ({request, response, isRefused}: OpenBody): boolean => !isRefused && !request.complete && !response.headersSent;

/**
 * Bounds the total bytes of all request bodies. Without the bound, every
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
				request, response, sizeBytes: 0, isRefused: false,
			};
			bodies.add(body);
			response.once('close', () => {
				release(body);
			});
			const meter: BodyMeter = {
				add(sizeBytes) {
					if (!body.isRefused) {
						body.sizeBytes += sizeBytes;
						totalBytes += sizeBytes;
						refuseWhileOverLimit();
					}

					if (body.isRefused) {
						throw new OverloadError('the request was refused before its body had arrived completely');
					}
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
