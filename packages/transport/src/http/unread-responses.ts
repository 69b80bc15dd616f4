import http from 'node:http';
import {cutConnection} from './cut-connection.js';
import type {Exchange} from './refuse-connection.js';

export type UnreadResponsesOptions = {
	readonly maxBytes: number;
	exchanges(): readonly Exchange[];
	/** Called before a connection is closed whose response is not read. */
	onCut(exchange: Exchange): void;
};

/** Bounds the bytes of responses that wait for their callers to read. */
export type UnreadResponses = {
	/** Records bytes that were written to a response. */
	recordWrite(sizeBytes: number): void;
	/** The bytes that wait now. */
	totalBytes(): number;
};

/** The bytes that wait are summed up each time that this share of the limit has been written. */
const checkedShare = 1 / 16;

/**
 * Over the limit, the connection with the most unread bytes is closed. The sum is taken
 * over all connections, once for many writes: nothing has to be counted for each response.
 */
export const createUnreadResponses = ({maxBytes, exchanges, onCut}: UnreadResponsesOptions): UnreadResponses => {
	let writtenBytes = 0;

	const totalBytes = (): number => exchanges().reduce((sum, {response}) => sum + response.writableLength, 0);

	const cutLargest = (): number => {
		let largest: Exchange | undefined;
		for (const exchange of exchanges()) {
			if (!exchange.response.destroyed && exchange.response.writableLength > (largest?.response.writableLength ?? 0)) {
				largest = exchange;
			}
		}

		if (largest === undefined) {
			return 0;
		}

		const unreadBytes = largest.response.writableLength;
		onCut(largest);
		cutConnection(largest.response);
		return unreadBytes;
	};

	return {
		recordWrite(sizeBytes) {
			writtenBytes += sizeBytes;
			if (writtenBytes < maxBytes * checkedShare) {
				return;
			}

			writtenBytes = 0;
			let total = totalBytes();
			while (total > maxBytes) {
				const cutBytes = cutLargest();
				if (cutBytes === 0) {
					return;
				}

				total -= cutBytes;
			}
		},
		totalBytes,
	};
};

const lengthOf = (chunk: unknown): number => typeof chunk === 'string' || chunk instanceof Uint8Array ? chunk.length : 0;

/** A class of responses that reports what is written to them, as an option of `http.createServer`. */
export const createMeasuredResponse = (onWrite: (sizeBytes: number) => void): typeof http.ServerResponse => {
	class MeasuredResponse extends http.ServerResponse {
		override write(chunk: unknown, ...rest: readonly unknown[]): boolean {
			const hasRoom: unknown = Reflect.apply(super.write, this, [chunk, ...rest]);
			onWrite(lengthOf(chunk));
			return hasRoom as boolean;
		}

		override end(chunk?: unknown, ...rest: readonly unknown[]): this {
			Reflect.apply(super.end, this, [chunk, ...rest]);
			onWrite(lengthOf(chunk));
			return this;
		}
	}

	return MeasuredResponse as unknown as typeof http.ServerResponse;
};
