import {Buffer} from 'node:buffer';

/** Whole events out of the parts in which a stream arrives. */
export type EventSplitter = {
	/** Takes a part; returns what it completes, or `null` if no event has ended. */
	push(part: Uint8Array): Buffer | null;
	/** Id of the last whole event; `null` while there is none. */
	lastId(): string | null;
	/** Bytes of an event that has not ended. */
	restBytes(): number;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Where the last whole event ends: behind an empty line; 0 if none has ended. */
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

/** The id of the last event that has one; looked for from the end, since every event of every stream passes here. */
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
 * Passes on whole events only. An endpoint that breaks off within an event, and
 * another that goes on behind the last whole one, would otherwise leave the
 * caller with the halves of two runs in one event.
 */
export const createEventSplitter = (): EventSplitter => {
	let rest: Buffer = Buffer.alloc(0);
	let lastId: string | null = null;
	return {
		push(part) {
			const data = rest.length === 0 ? Buffer.from(part.buffer, part.byteOffset, part.byteLength) : Buffer.concat([rest, part]);
			const end = endOfLastEvent(data);
			rest = data.subarray(end);
			if (end === 0) {
				return null;
			}

			const events = data.subarray(0, end);
			lastId = idOfLast(events) ?? lastId;
			return events;
		},
		lastId: () => lastId,
		restBytes: () => rest.length,
	};
};
