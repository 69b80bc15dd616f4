import {mkdir, open, type FileHandle} from 'node:fs/promises';
import path from 'node:path';
import {readIfPresent, replaceFile, syncFolder} from './files.js';
import {DamagedLogError, encodeFrame, type SegmentStart} from './frames.js';
import type {
	HardState, LogEntry, LogRecord, Snapshot,
} from './records.js';
import {readSegments, removeSegmentsBefore, segmentPath} from './segments.js';
import {readSnapshot, snapshotFileParts} from './snapshot-file.js';

export type LoadedLog = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot | null;
	readonly entries: LogEntry[];
	/** Bytes of a torn last write that were cut off. */
	readonly cutBytes: number;
};

/** The durable side of consensus on one disk host. */
export type LogStore = {
	readonly loaded: LoadedLog;
	/** Writes all records with one sync; when it resolves they survive a crash. */
	append(records: readonly LogRecord[]): Promise<void>;
	/** Replaces everything before by the snapshot, and restarts the log with `tail`. */
	saveSnapshot(snapshot: Snapshot, hardState: HardState, tail: readonly LogEntry[]): Promise<void>;
	readonly syncCount: () => number;
	close(): Promise<void>;
};

type Replayed = Pick<LoadedLog, 'hardState' | 'entries'>;

const replay = (records: readonly LogRecord[], baseIndex: number): Replayed => {
	let hardState: HardState = {term: 0, votedFor: null};
	const entries: LogEntry[] = [];
	for (const record of records) {
		if (record.type === 'hardState') {
			({hardState} = record);
		} else if (record.type === 'truncate') {
			entries.length = Math.min(entries.length, Math.max(0, record.fromIndex - baseIndex - 1));
		} else {
			const position = record.entry.index - baseIndex - 1;
			if (position > entries.length || position < 0) {
				throw new DamagedLogError(`entry ${record.entry.index} does not follow entry ${baseIndex + entries.length}; restore this host from its peers`);
			}

			entries.length = position;
			entries.push(record.entry);
		}
	}

	return {hardState, entries};
};

/**
 * After a crash between saving a snapshot and starting the log anew, the old
 * entries are still there. Those behind the snapshot count only if the old log
 * agrees with the snapshot; a snapshot that came from the leader may have
 * replaced a log that differs, and its rest would contradict what is committed.
 */
const skipTo = (entries: readonly LogEntry[], baseIndex: number, snapshot: Snapshot | null): LogEntry[] => {
	const snapshotIndex = snapshot?.index ?? 0;
	if (snapshotIndex < baseIndex) {
		throw new DamagedLogError(`the log follows a snapshot of entry ${baseIndex}, but the snapshot is of entry ${snapshotIndex}; restore this host from its peers`);
	}

	if (snapshotIndex === baseIndex) {
		return [...entries];
	}

	const agrees = entries[snapshotIndex - baseIndex - 1]?.term === snapshot!.term;
	return agrees ? entries.slice(snapshotIndex - baseIndex) : [];
};

export type OpenLogStoreOptions = {
	readonly folder: string;
	/** A new segment begins behind this size. @default 16777216 */
	readonly segmentBytes?: number;
	/** Awaited between the parts of a snapshot. @default nothing more than the write itself, which leaves the loop to others */
	pause?(): Promise<void>;
};

const noPause = async (): Promise<void> => undefined;

async function * withPauses(parts: Iterable<string>, pause: () => Promise<void>): AsyncGenerator<string> {
	for (const part of parts) {
		yield part;
		await pause();
	}
}

/**
 * Opens the log in `folder`: a snapshot and the segments behind it. A torn
 * tail, as a crash in mid-write leaves it, is cut: nothing in it was ever
 * acknowledged. Damage before the tail throws `DamagedLogError`, because
 * acknowledged entries are gone.
 */
export const openLogStore = async ({folder, segmentBytes = 16 * 1024 * 1024, pause = noPause}: OpenLogStoreOptions): Promise<LogStore> => {
	await mkdir(folder, {recursive: true});
	const snapshotPath = path.join(folder, 'snapshot.json');
	const snapshotData = await readIfPresent(snapshotPath);
	const snapshot = snapshotData === null ? null : readSnapshot(snapshotData);
	const {records, lastSequence, lastBytes, snapshotIndex, cutBytes} = await readSegments(folder);
	const {hardState, entries} = replay(records, snapshotIndex);
	const loaded: LoadedLog = {
		hardState, snapshot, entries: skipTo(entries, snapshotIndex, snapshot), cutBytes,
	};
	let sequence = lastSequence;
	let sizeBytes = lastBytes;
	let file: FileHandle | null = null;
	let syncs = 0;
	let failure: Error | null = null;

	/** Starts the next segment; it is on disk under its name before anything in it is acknowledged. */
	const startSegment = async (start: Omit<SegmentStart, 'type' | 'sequence'>, first: readonly LogRecord[]): Promise<void> => {
		const next = sequence + 1;
		const frame = encodeFrame([{type: 'segmentStart', sequence: next, ...start}, ...first]);
		await file?.close();
		file = null;
		await replaceFile(segmentPath(folder, next), frame);
		file = await open(segmentPath(folder, next), 'a');
		sequence = next;
		sizeBytes = frame.length;
	};

	/** After a failed write or sync nobody knows what is on disk; a later success would acknowledge a log with a hole. */
	const guard = async (work: () => Promise<void>): Promise<void> => {
		if (failure !== null) {
			throw failure;
		}

		try {
			await work();
		} catch (error) {
			failure = error as Error;
			throw error;
		}
	};

	if (sequence === 0) {
		if (snapshot !== null) {
			throw new DamagedLogError(`${folder}: there is a snapshot but no log; restore this host from its peers`);
		}

		await startSegment({previousBytes: null, snapshotIndex: 0}, []);
	} else {
		file = await open(segmentPath(folder, sequence), 'a');
	}

	await syncFolder(folder);
	return {
		loaded,
		append: async appended => guard(async () => {
			if (sizeBytes >= segmentBytes) {
				await startSegment({previousBytes: sizeBytes, snapshotIndex: 0}, []);
			}

			const frame = encodeFrame(appended);
			await file!.appendFile(frame);
			await file!.datasync();
			sizeBytes += frame.length;
			syncs++;
		}),
		saveSnapshot: async (saved, promise, tail) => guard(async () => {
			// The old snapshot and segments stay until the new one is durable; replay skips the entries that both hold.
			await replaceFile(snapshotPath, withPauses(snapshotFileParts(saved), pause));
			await startSegment({previousBytes: null, snapshotIndex: saved.index}, [{type: 'hardState', hardState: promise}, ...tail.map(entry => ({type: 'entry', entry}) as const)]);
			await removeSegmentsBefore(folder, sequence);
		}),
		syncCount: () => syncs,
		async close() {
			await file?.close();
		},
	};
};
