import {Buffer} from 'node:buffer';

/**
 * Forwards complete server-sent events and withholds `[DONE]` until the answer is
 * confirmed to be complete. Callers stop reading at `[DONE]`: if it were forwarded
 * before the end marker was checked, a truncated answer would look complete to them.
 */
export type EventGate = {held: Buffer; isDone: boolean};

const doneEventPrefix = 'data: [DONE]';
/** A longer event is forwarded in pieces; less may follow `[DONE]`. */
const maxHeldEventBytes = 65_536;

/** More bytes followed `[DONE]` than its event and the end of an answer take. */
export class EndlessAnswerError extends Error {
	override readonly name = 'EndlessAnswerError';
}

export const createEventGate = (): EventGate => ({held: Buffer.alloc(0), isDone: false});

/** Adds received bytes to the buffer and returns those that may be forwarded. Throws `EndlessAnswerError`. */
export const passEvents = (gate: EventGate, part: Buffer): Buffer => {
	if (gate.isDone && gate.held.length + part.length > maxHeldEventBytes) {
		throw new EndlessAnswerError(`more than ${maxHeldEventBytes} bytes follow ${doneEventPrefix}`);
	}

	const all = gate.held.length === 0 ? part : Buffer.concat([gate.held, part]);
	const doneAt = gate.isDone ? 0 : all.indexOf(doneEventPrefix);
	if (doneAt !== -1) {
		gate.isDone = true;
		gate.held = all.subarray(doneAt);
		return all.subarray(0, doneAt);
	}

	const boundary = Math.max(endOf(all, '\n\n'), endOf(all, '\n\r\n'));
	const passed = all.length - boundary > maxHeldEventBytes ? all.length : boundary;
	gate.held = all.subarray(passed);
	return all.subarray(0, passed);
};

const endOf = (data: Buffer, separator: string): number => {
	const position = data.lastIndexOf(separator);
	return position === -1 ? 0 : position + separator.length;
};
