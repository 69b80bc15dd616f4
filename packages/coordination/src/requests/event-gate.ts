import {Buffer} from 'node:buffer';

/**
 * Lets whole server-sent events pass and holds back the last one until the
 * answer is known to be whole. Callers stop reading at `[DONE]`: if it passed
 * before the end marker was checked, a broken answer would look whole to them.
 */
export type EventGate = {held: Buffer; isDone: boolean};

const doneText = 'data: [DONE]';
/** An event longer than this is passed on in pieces. */
const heldLimitBytes = 65_536;

export const createEventGate = (): EventGate => ({held: Buffer.alloc(0), isDone: false});

/** Takes what has come and gives what may pass. */
export const passEvents = (gate: EventGate, part: Buffer): Buffer => {
	const all = gate.held.length === 0 ? part : Buffer.concat([gate.held, part]);
	const doneAt = gate.isDone ? 0 : all.indexOf(doneText);
	if (doneAt !== -1) {
		gate.isDone = true;
		gate.held = all.subarray(doneAt);
		return all.subarray(0, doneAt);
	}

	const boundary = Math.max(endOf(all, '\n\n'), endOf(all, '\n\r\n'));
	const passed = all.length - boundary > heldLimitBytes ? all.length : boundary;
	gate.held = all.subarray(passed);
	return all.subarray(0, passed);
};

const endOf = (data: Buffer, separator: string): number => {
	const position = data.lastIndexOf(separator);
	return position === -1 ? 0 : position + separator.length;
};
