import {Buffer} from 'node:buffer';

/** Splits the chunks of an event stream at event boundaries. */
export type EventSplitter = {
	/** Adds a chunk; returns the events that it completes, or `null` if it completes none. */
	push(part: Uint8Array): Buffer | null;
	/** Id of the last complete event; `null` if there is none yet. */
	lastId(): string | null;
	/** Number of buffered bytes of an incomplete event. */
	pendingBytes(): number;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Returns the offset after the last complete event (events end with an empty line); 0 if there is none. */
const endOfLastEvent = (data: Buffer): number => {
	for (let position = data.length - 1; position > 0; position--) {
		if (data[position] !== lineFeed) {
			continue;
		}

		const before = data[position - 1] === carriageReturn ? position - 2 : position - 1;
		if (data[before] === lineFeed) {
			return position + 1;
		}
	}

	return 0;
};

const idField = 'id:';
const idLine = `\n${idField}`;

/** Returns the id of the last event that has one; searches from the end because this runs for every event of every stream. */
const idOfLast = (events: Buffer): string | null => {
	const before = events.lastIndexOf(idLine);
	if (before === -1 && events.indexOf(idField) !== 0) {
		return null;
	}

	const from = before === -1 ? idField.length : before + idLine.length;
	const end = events.indexOf(lineFeed, from);
	return events.toString('latin1', from, end === -1 ? events.length : end).trim();
};

/**
 * Forwards complete events only. Otherwise, if an endpoint failed in the middle of an
 * event and another one resumed after the last complete event, the caller would get
 * one event made of parts of two runs.
 */
export const createEventSplitter = (): EventSplitter => {
	let pending: Buffer = Buffer.alloc(0);
	let lastId: string | null = null;
	return {
		push(part) {
			const data = pending.length === 0 ? Buffer.from(part.buffer, part.byteOffset, part.byteLength) : Buffer.concat([pending, part]);
			const end = endOfLastEvent(data);
			pending = data.subarray(end);
			if (end === 0) {
				return null;
			}

			const events = data.subarray(0, end);
			lastId = idOfLast(events) ?? lastId;
			return events;
		},
		lastId: () => lastId,
		pendingBytes: () => pending.length,
	};
};
