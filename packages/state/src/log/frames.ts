import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import * as z from 'zod';
import {recordSchema, type LogRecord} from './records.js';

export class DamagedLogError extends Error {
	override readonly name = 'DamagedLogError';
}

/**
 * One frame is one write with one sync: all records of a group commit. Layout:
 * magic (4 bytes), body size, CRC-32 of the body, CRC-32 of the 12 bytes
 * before, then the body as JSON. The magic is no valid UTF-8, so it never
 * occurs inside a body and marks where frames begin.
 */
const magic = Buffer.from([0xFF, 0xB1, 0x7E, 0xFE]);
const headerBytes = 16;
const checkedHeaderBytes = 12;

/** First record of a segment: what came before it, so that a missing or shortened predecessor shows. */
export const segmentStartSchema = z.object({
	type: z.literal('segmentStart'),
	sequence: z.number().int().positive(),
	/** Size of the segment before; `null` if this one starts the log anew. */
	previousBytes: z.number().int().nonnegative().nullable(),
	/** The snapshot that the entries in a new start follow; 0 for none. */
	snapshotIndex: z.number().int().nonnegative(),
});
export type SegmentStart = z.infer<typeof segmentStartSchema>;

const bodySchema = z.array(z.union([recordSchema, segmentStartSchema]));

export const encodeFrame = (records: ReadonlyArray<LogRecord | SegmentStart>): Buffer => {
	const body = Buffer.from(JSON.stringify(records));
	const header = Buffer.alloc(headerBytes);
	magic.copy(header);
	header.writeUInt32LE(body.length, 4);
	header.writeUInt32LE(crc32(body), 8);
	header.writeUInt32LE(crc32(header.subarray(0, checkedHeaderBytes)), checkedHeaderBytes);
	return Buffer.concat([header, body]);
};

/** The frame's body at `offset`, or `null` if there is no whole frame. */
const bodyAt = (data: Buffer, offset: number): Buffer | null => {
	if (offset + headerBytes > data.length) {
		return null;
	}

	const header = data.subarray(offset, offset + headerBytes);
	const isHeader = header.subarray(0, magic.length).equals(magic)
		&& crc32(header.subarray(0, checkedHeaderBytes)) === header.readUInt32LE(checkedHeaderBytes);
	if (!isHeader) {
		return null;
	}

	const start = offset + headerBytes;
	const end = start + header.readUInt32LE(4);
	const body = data.subarray(start, end);
	return end <= data.length && crc32(body) === header.readUInt32LE(8) ? body : null;
};

const nextFrameAfter = (data: Buffer, offset: number): number | null => {
	for (let found = data.indexOf(magic, offset + 1); found !== -1; found = data.indexOf(magic, found + 1)) {
		if (bodyAt(data, found) !== null) {
			return found;
		}
	}

	return null;
};

export type DecodedSegment = {readonly records: ReadonlyArray<LogRecord | SegmentStart>; readonly goodBytes: number};

/**
 * Reads frames up to the first bad one. Each frame is synced before the next
 * is written, so a crash can only have torn the last: a whole frame behind a
 * bad one means that synced, acknowledged entries are damaged. The size in a
 * damaged header cannot be believed; hence the search for the next magic.
 */
export const decodeSegment = (data: Buffer, fileName: string): DecodedSegment => {
	const records: Array<LogRecord | SegmentStart> = [];
	let offset = 0;
	while (offset < data.length) {
		const body = bodyAt(data, offset);
		if (body === null) {
			const next = nextFrameAfter(data, offset);
			if (next !== null) {
				throw new DamagedLogError(`${fileName}: the frame at byte ${offset} is damaged and a whole one follows at byte ${next}; restore this host from its peers`);
			}

			break;
		}

		const parsed = bodySchema.safeParse(JSON.parse(body.toString()));
		if (!parsed.success) {
			throw new DamagedLogError(`${fileName}: the frame at byte ${offset} is whole but has records that this program does not know; start the newer program that wrote it`);
		}

		records.push(...parsed.data);
		offset += headerBytes + body.length;
	}

	return {records, goodBytes: offset};
};
