import type http from 'node:http';
import {OverloadError, refuseRequest} from './overload.js';

/** Counts one request's body while it is read. */
export type BodyMeter = {
	/** Throws `OverloadError` once this body was given up. */
	add(sizeBytes: number): void;
	isRefused(): boolean;
};

export type BodyBudget = {
	open(request: http.IncomingMessage, response: http.ServerResponse): BodyMeter;
	/** Gives up the unfinished body that has been open for the longest; `false` if there is none. */
	refuseOldest(reason: string): boolean;
	bufferedBytes(): number;
};

type Body = {readonly request: http.IncomingMessage; readonly response: http.ServerResponse; sizeBytes: number; isRefused: boolean};

const meters = new WeakMap<http.IncomingMessage, BodyMeter>();

/** The meter of a request that a server with a budget received. */
export const meterOf = (message: http.IncomingMessage): BodyMeter | undefined => meters.get(message);

/** Only a request that is still on its way can be told for certain that it did not run. */
const isUnfinished = ({request, response, isRefused}: Body): boolean => !isRefused && !request.complete && !response.headersSent;

/**
 * Bounds the bytes of all bodies together. Without it, every connection could
 * hold a body of the greatest size, and the process would be killed for its
 * memory with all that runs in it. What gives way is the largest unfinished
 * body, so senders of usual requests are not shut out by a few large ones.
 */
export const createBodyBudget = (maxBufferedBytes: number): BodyBudget => {
	const bodies = new Set<Body>();
	let totalBytes = 0;

	const release = (body: Body): void => {
		bodies.delete(body);
		totalBytes -= body.sizeBytes;
		body.sizeBytes = 0;
	};

	const refuse = (body: Body, reason: string): void => {
		body.isRefused = true;
		release(body);
		refuseRequest(body.response, reason);
	};

	const largestUnfinished = (): Body | undefined => {
		let largest: Body | undefined;
		for (const body of bodies) {
			if (isUnfinished(body) && body.sizeBytes > (largest?.sizeBytes ?? 0)) {
				largest = body;
			}
		}

		return largest;
	};

	const isOver = (): boolean => totalBytes > maxBufferedBytes;

	const makeRoom = (): void => {
		while (isOver()) {
			const body = largestUnfinished();
			if (body === undefined) {
				return;
			}

			refuse(body, `more than ${maxBufferedBytes} bytes of requests are held here`);
		}
	};

	return {
		open(request, response) {
			const body: Body = {
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
						makeRoom();
					}

					if (body.isRefused) {
						throw new OverloadError('the body was given up');
					}
				},
				isRefused: () => body.isRefused,
			};
			meters.set(request, meter);
			return meter;
		},
		refuseOldest(reason) {
			for (const body of bodies) {
				if (isUnfinished(body)) {
					refuse(body, reason);
					return true;
				}
			}

			return false;
		},
		bufferedBytes: () => totalBytes,
	};
};
