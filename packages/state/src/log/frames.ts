import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import * as z from 'zod';
import {recordSchema, type LogRecord} from './records.js';

export class DamagedLogError extends Error {
	override readonly name = 'DamagedLogError';
}

/**
 * A frame holds the records of a group commit, or a part of them, and is written with one sync.
 * Layout: magic (4 bytes), body size, CRC-32 of the body, CRC-32 of the preceding
 * 12 bytes, then the body as JSON. The magic is not valid UTF-8, so it never
 * occurs within a body and marks the start of a frame.
 */
const magic = Buffer.from([0xFF, 0xB1, 0x7E, 0xFE]);
const headerBytes = 16;
const checkedHeaderBytes = 12;

/** First record of a segment. It describes the previous segment, so that a missing or truncated one is detected. */
export const segmentStartSchema = z.object({
	type: z.literal('segmentStart'),
	sequence: z.number().int().positive(),
	/** Size of the previous segment; `null` if this segment restarts the log. */
	previousBytes: z.number().int().nonnegative().nullable(),
	/** Index of the snapshot that a restarted log follows; 0 for none. */
	snapshotIndex: z.number().int().nonnegative(),
});
export type SegmentStart = z.infer<typeof segmentStartSchema>;

const bodySchema = z.array(z.union([recordSchema, segmentStartSchema]));

/** Size of the records in a frame; a larger record has a frame of its own. */
const maxFrameBytes = 1024 * 1024;

/** Encodes records as frames of bounded size: a group commit may hold many long records. */
export function * encodeFrames(records: Iterable<LogRecord | SegmentStart>): Generator<Buffer> {
	let texts: string[] = [];
	let length = 0;
	for (const record of records) {
		const text = JSON.stringify(record);
		if (texts.length > 0 && length + text.length > maxFrameBytes) {
			yield frameOf(texts);
			texts = [];
			length = 0;
		}

		texts.push(text);
		length += text.length;
	}

	if (texts.length > 0) {
		yield frameOf(texts);
	}
}

/** Encodes records as one frame, whatever their size. */
export const encodeFrame = (records: ReadonlyArray<LogRecord | SegmentStart>): Buffer => frameOf(records.map(record => JSON.stringify(record)));

const frameOf = (recordTexts: readonly string[]): Buffer => {
	const body = Buffer.from(`[${recordTexts.join(',')}]`);
	const header = Buffer.alloc(headerBytes);
	magic.copy(header);
	header.writeUInt32LE(body.length, 4);
	header.writeUInt32LE(crc32(body), 8);
	header.writeUInt32LE(crc32(header.subarray(0, checkedHeaderBytes)), checkedHeaderBytes);
	return Buffer.concat([header, body]);
};

/** Returns the body of the frame at `offset`, or `null` if there is no intact frame. */
const bodyAt = (data: Buffer, offset: number): Buffer | null => {
	if (offset + headerBytes > data.length) {
		return null;
	}

	const header = data.subarray(offset, offset + headerBytes);
	const hasValidHeader = header.subarray(0, magic.length).equals(magic)
		&& crc32(header.subarray(0, checkedHeaderBytes)) === header.readUInt32LE(checkedHeaderBytes);
	if (!hasValidHeader) {
		return null;
	}

	const start = offset + headerBytes;
	const end = start + header.readUInt32LE(4);
	const body = data.subarray(start, end);
	return end <= data.length && crc32(body) === header.readUInt32LE(8) ? body : null;
};

const findNextFrame = (data: Buffer, offset: number): number | null => {
	for (let candidate = data.indexOf(magic, offset + 1); candidate !== -1; candidate = data.indexOf(magic, candidate + 1)) {
		if (bodyAt(data, candidate) !== null) {
			return candidate;
		}
	}

	return null;
};

export type DecodedSegment = {readonly records: ReadonlyArray<LogRecord | SegmentStart>; /** Size of the valid frames. */ readonly validBytes: number};

/**
 * Decodes frames up to the first invalid one. Each frame is synced before the
 * next is written, so a crash can only tear the last frame: an intact frame after
 * an invalid one means that synced, acknowledged entries are damaged. The size in
 * a damaged header is unreliable, hence the search for the next magic.
 */
export const decodeSegment = (data: Buffer, fileName: string): DecodedSegment => {
	const records: Array<LogRecord | SegmentStart> = [];
	let offset = 0;
	while (offset < data.length) {
		const body = bodyAt(data, offset);
		if (body === null) {
			const next = findNextFrame(data, offset);
			if (next !== null) {
				throw new DamagedLogError(`${fileName}: the frame at byte ${offset} is damaged, but an intact frame follows at byte ${next}; restore this host from its peers`);
			}

			break;
		}

		const parsed = bodySchema.safeParse(JSON.parse(body.toString()));
		if (!parsed.success) {
			throw new DamagedLogError(`${fileName}: the frame at byte ${offset} is intact but has records that this program does not know; start the newer program that wrote it`);
		}

		records.push(...parsed.data);
		offset += headerBytes + body.length;
	}

	return {records, validBytes: offset};
};
