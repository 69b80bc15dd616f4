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
	/** The segment to append to; 0 if there is none. */
	readonly lastSequence: number;
	readonly lastBytes: number;
	/** Index of the snapshot that the first entry follows, unless a newer one was saved since. */
	readonly snapshotIndex: number;
	/** Size of a torn last write that was truncated. */
	readonly cutBytes: number;
};

type Segment = {readonly sequence: number; readonly start: SegmentStart; readonly records: LogRecord[]; readonly validBytes: number; readonly sizeBytes: number};

const readSegment = async (folder: string, sequence: number): Promise<Segment> => {
	const filePath = segmentPath(folder, sequence);
	const data = await readFile(filePath);
	const {records: [start, ...records], validBytes} = decodeSegment(data, filePath);
	// A segment gets its name only after its first frame is synced, so no crash can tear that frame.
	if (start?.type !== 'segmentStart' || start.sequence !== sequence) {
		throw new DamagedLogError(`${filePath}: the first frame is damaged or belongs to another segment; restore this host from its peers`);
	}

	return {
		sequence, start, records: records as LogRecord[], validBytes, sizeBytes: data.length,
	};
};

export const listSegments = async (folder: string): Promise<number[]> => {
	const names = await readdir(folder);
	return names.map(name => Number(namePattern.exec(name)?.groups!.sequence ?? 0)).filter(sequence => sequence > 0).toSorted((a, b) => a - b);
};

/** Reads segments backwards to the newest one that restarts the log; earlier segments remain only after a crash. */
const readSegmentChain = async (folder: string, sequences: readonly number[]): Promise<Segment[]> => {
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

/** Only the last segment may have a torn end, since a crash can only tear the segment that is being written. */
const assertContiguous = (folder: string, chain: readonly Segment[]): void => {
	for (const [position, segment] of chain.slice(1).entries()) {
		const previous = chain[position]!;
		if (segment.sequence !== previous.sequence + 1 || previous.validBytes !== previous.sizeBytes || previous.sizeBytes !== segment.start.previousBytes) {
			throw new DamagedLogError(`${segmentPath(folder, previous.sequence)} is damaged or incomplete, but segment ${segment.sequence} follows it; restore this host from its peers`);
		}
	}
};

const truncateFile = async (filePath: string, sizeBytes: number): Promise<void> => {
	const file = await open(filePath, 'r+');
	try {
		await file.truncate(sizeBytes);
		await file.sync();
	} finally {
		await file.close();
	}
};

export const readSegments = async (folder: string): Promise<ReadSegments> => {
	const chain = await readSegmentChain(folder, await listSegments(folder));
	assertContiguous(folder, chain);
	const last = chain.at(-1);
	let cutBytes = 0;
	if (last !== undefined && last.validBytes < last.sizeBytes) {
		cutBytes = last.sizeBytes - last.validBytes;
		await truncateFile(segmentPath(folder, last.sequence), last.validBytes);
	}

	await removeSegmentsBefore(folder, chain[0]?.sequence ?? 0);
	return {
		records: chain.flatMap(segment => segment.records), lastSequence: last?.sequence ?? 0, lastBytes: last?.validBytes ?? 0,
		snapshotIndex: chain[0]?.start.snapshotIndex ?? 0, cutBytes,
	};
};

export const removeSegmentsBefore = async (folder: string, sequence: number): Promise<void> => {
	for (const oldSequence of await listSegments(folder)) {
		if (oldSequence < sequence) {
			await rm(segmentPath(folder, oldSequence));
		}
	}

	await syncFolder(folder);
};
