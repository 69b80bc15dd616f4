import {Buffer} from 'node:buffer';

/** Splits the parts of an event stream at event boundaries. */
export type EventSplitter = {
	/** Adds a part; returns the events that it completes, or `null` if it completes none. */
	push(part: Uint8Array): Buffer | null;
	/** Id of the last complete event; `null` if there is none yet. */
	lastId(): string | null;
	/** Number of buffered bytes of an incomplete event. */
	pendingBytes(): number;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const initialPendingBytes = 512;
const emptyBuffer = Buffer.alloc(0);

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
 * one event made of parts of two runs. The cost is linear in the bytes, whatever the
 * parts: each part is searched once, and what is pending is kept in a buffer that doubles.
 */
export const createEventSplitter = (): EventSplitter => {
	let pending: Buffer = emptyBuffer;
	let pendingBytes = 0;
	let lastId: string | null = null;
	/** The last two bytes before the next part; 0 for none. */
	let lastByte = 0;
	let secondLastByte = 0;

	const keep = (part: Uint8Array): void => {
		if (pendingBytes + part.length > pending.length) {
			const grown = Buffer.allocUnsafe(Math.max(initialPendingBytes, 2 * (pendingBytes + part.length)));
			pending.copy(grown, 0, 0, pendingBytes);
			pending = grown;
		}

		pending.set(part, pendingBytes);
		pendingBytes += part.length;
	};

	/** Returns the offset in `part` after an empty line that began before it; 0 if none did. */
	const endOfCarriedEvent = (part: Buffer): number => {
		if (lastByte === lineFeed && part[0] === carriageReturn && part[1] === lineFeed) {
			return 2;
		}

		const isEmptyLine = part[0] === lineFeed && (lastByte === lineFeed || (lastByte === carriageReturn && secondLastByte === lineFeed));
		return isEmptyLine ? 1 : 0;
	};

	const carryEnd = (part: Buffer): void => {
		secondLastByte = part.length > 1 ? part.at(-2)! : lastByte;
		lastByte = part.at(-1)!;
	};

	return {
		push(bytes) {
			if (bytes.length === 0) {
				return null;
			}

			const part = Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
			const end = endOfLastEvent(part) || endOfCarriedEvent(part);
			carryEnd(part);
			if (end === 0) {
				keep(part);
				return null;
			}

			const completed = part.subarray(0, end);
			const events = pendingBytes === 0 ? completed : Buffer.concat([pending.subarray(0, pendingBytes), completed]);
			pendingBytes = 0;
			if (end < part.length) {
				keep(part.subarray(end));
			} else {
				pending = emptyBuffer;
			}

			lastId = idOfLast(events) ?? lastId;
			return events;
		},
		lastId: () => lastId,
		pendingBytes: () => pendingBytes,
	};
};
