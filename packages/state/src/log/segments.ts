import {
	open, readdir, readFile, rm,
} from 'node:fs/promises';
import path from 'node:path';
import {DamagedLogError, decodeSegment, type SegmentStart} from './frames.js';
import {syncFolder} from './files.js';
import type {LogRecord} from './records.js';

const namePattern = /^log-(?<sequence>\d{10})$/v;

export const segmentPath = (folder: string, sequence: number): string => path.join(folder, `log-${String(sequence).padStart(10, '0')}`);

export type ReadSegments = {
	readonly records: LogRecord[];
	/** The segment to go on with; 0 if there is none. */
	readonly lastSequence: number;
	readonly lastBytes: number;
	/** Snapshot that the first entry follows, if no newer one was saved since. */
	readonly snapshotIndex: number;
	/** Bytes of a torn last write that were cut off. */
	readonly cutBytes: number;
};

type Segment = {readonly sequence: number; readonly start: SegmentStart; readonly records: LogRecord[]; readonly goodBytes: number; readonly sizeBytes: number};

const readSegment = async (folder: string, sequence: number): Promise<Segment> => {
	const filePath = segmentPath(folder, sequence);
	const data = await readFile(filePath);
	const {records: [start, ...records], goodBytes} = decodeSegment(data, filePath);
	// A segment appears under its name with its first frame synced, so no crash can tear that one.
	if (start?.type !== 'segmentStart' || start.sequence !== sequence) {
		throw new DamagedLogError(`${filePath}: its first frame is damaged or of another segment; restore this host from its peers`);
	}

	return {
		sequence, start, records: records as LogRecord[], goodBytes, sizeBytes: data.length,
	};
};

export const listSegments = async (folder: string): Promise<number[]> => {
	const names = await readdir(folder);
	return names.map(name => Number(namePattern.exec(name)?.groups!.sequence ?? 0)).filter(sequence => sequence > 0).toSorted((a, b) => a - b);
};

/** Reads back to the newest segment that starts the log anew; those before it are leftovers of a crash. */
const readChain = async (folder: string, sequences: readonly number[]): Promise<Segment[]> => {
	const chain: Segment[] = [];
	for (const sequence of sequences.toReversed()) {
		const segment = await readSegment(folder, sequence);
		chain.unshift(segment);
		if (segment.start.previousBytes === null) {
			return chain;
		}
	}

	if (chain.length > 0) {
		throw new DamagedLogError(`${segmentPath(folder, chain[0]!.sequence - 1)} is missing; restore this host from its peers`);
	}

	return chain;
};

/** A crash leaves a torn end only in the segment that was being written, which is the last one. */
const assertUnbroken = (folder: string, chain: readonly Segment[]): void => {
	for (const [position, segment] of chain.slice(1).entries()) {
		const before = chain[position]!;
		if (segment.sequence !== before.sequence + 1 || before.goodBytes !== before.sizeBytes || before.sizeBytes !== segment.start.previousBytes) {
			throw new DamagedLogError(`${segmentPath(folder, before.sequence)} is damaged or incomplete and segment ${segment.sequence} follows it; restore this host from its peers`);
		}
	}
};

const cutFile = async (filePath: string, sizeBytes: number): Promise<void> => {
	const file = await open(filePath, 'r+');
	try {
		await file.truncate(sizeBytes);
		await file.sync();
	} finally {
		await file.close();
	}
};

export const readSegments = async (folder: string): Promise<ReadSegments> => {
	const chain = await readChain(folder, await listSegments(folder));
	assertUnbroken(folder, chain);
	const torn = chain.at(-1);
	let cutBytes = 0;
	if (torn !== undefined && torn.goodBytes < torn.sizeBytes) {
		cutBytes = torn.sizeBytes - torn.goodBytes;
		await cutFile(segmentPath(folder, torn.sequence), torn.goodBytes);
	}

	await removeSegmentsBefore(folder, chain[0]?.sequence ?? 0);
	return {
		records: chain.flatMap(segment => segment.records), lastSequence: torn?.sequence ?? 0, lastBytes: torn?.goodBytes ?? 0,
		snapshotIndex: chain[0]?.start.snapshotIndex ?? 0, cutBytes,
	};
};

export const removeSegmentsBefore = async (folder: string, sequence: number): Promise<void> => {
	for (const old of await listSegments(folder)) {
		if (old < sequence) {
			await rm(segmentPath(folder, old));
		}
	}

	await syncFolder(folder);
};
