import {type Buffer} from 'node:buffer';
import type http from 'node:http';
import {createBodyCollector} from './body-collector.js';
import {recordAllocatedBytes} from './collect-garbage.js';
import {bodyMeterOf} from './request-budget.js';

export class BodyTooLargeError extends Error {
	override readonly name = 'BodyTooLargeError';

	constructor(limitBytes: number) {
		super(`the body is larger than ${limitBytes} bytes`);
	}
}

/** A body that is being read. */
export type BodyReading = {
	/** Rejects if the body is cut, too large, refused or given up. */
	readonly body: Promise<Buffer>;
	/** Stops reading: forgets what has arrived, and rejects with `error`. */
	giveUp(error: Error): void;
};

/** Whether a message is an answer, whose connection returns to a pool; a request's connection is still needed to answer it. */
const isAnswer = ({statusCode}: http.IncomingMessage): boolean => typeof statusCode === 'number';

/** Begins to read a body at once, so that no parts wait in the queue of the message. */
export const startReadingBody = (message: http.IncomingMessage, limitBytes = Number.POSITIVE_INFINITY): BodyReading => {
	const meter = bodyMeterOf(message);
	const collector = createBodyCollector();
	let isSettled = false;
	const {promise: body, resolve, reject} = withResolvers<Buffer>();

	const settle = (): boolean => {
		if (isSettled) {
			return false;
		}

		isSettled = true;
		message.off('data', onData);
		message.off('end', onEnd);
		message.off('close', onClose);
		return true;
	};

	const fail = (error: Error): void => {
		if (settle()) {
			message.off('error', fail);
			collector.take();
			meter?.giveUp();
			reject(error);
		}
	};

	const failTooLarge = (): void => {
		fail(new BodyTooLargeError(limitBytes));
		// An unread answer would keep its connection from returning to the pool.
		if (isAnswer(message)) {
			message.destroy();
		}
	};

	const onData = (part: Buffer): void => {
		recordAllocatedBytes(part.length);
		if (collector.sizeBytes() + part.length > limitBytes) {
			failTooLarge();
			return;
		}

		const hasGrown = collector.add(part);
		try {
			meter?.recordPart(part.length, hasGrown ? collector.heldBytes() : null);
		} catch (error) {
			fail(error as Error);
		}
	};

	const onEnd = (): void => {
		if (settle()) {
			message.off('error', fail);
			const complete = collector.take();
			meter?.complete(complete.length);
			resolve(complete);
		}
	};

	const onClose = (): void => {
		fail(new Error('the connection was closed before the body was complete'));
	};

	if (Number(message.headers['content-length'] ?? 0) > limitBytes) {
		failTooLarge();
	} else if (message.readableEnded) {
		onEnd();
	} else if (message.destroyed) {
		onClose();
	} else {
		message.on('error', fail);
		message.on('end', onEnd);
		message.on('close', onClose);
		message.on('data', onData);
		meter?.onStopped(fail);
	}

	return {body, giveUp: fail};
};

/** Reads a complete body; a truncated body or one larger than `limitBytes` is an error. */
export const readBody = async (message: http.IncomingMessage, limitBytes = Number.POSITIVE_INFINITY): Promise<Buffer> => startReadingBody(message, limitBytes).body;

type Resolvers<Value> = {readonly promise: Promise<Value>; readonly resolve: (value: Value) => void; readonly reject: (error: Error) => void};

const withResolvers = <Value>(): Resolvers<Value> => {
	let resolve!: (value: Value) => void;
	let reject!: (error: Error) => void;
	const promise = new Promise<Value>((onResolve, onReject) => {
		resolve = onResolve;
		reject = onReject;
	});
	return {promise, resolve, reject};
};
