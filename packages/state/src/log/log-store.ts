import type {Buffer} from 'node:buffer';
import {mkdir, open, type FileHandle} from 'node:fs/promises';
import path from 'node:path';
import {readIfPresent, replaceFile, syncFolder} from './files.js';
import {DamagedLogError, encodeFrames, type SegmentStart} from './frames.js';
import type {
	HardState, LogEntry, LogRecord, Snapshot,
} from './records.js';
import {readSegments, removeSegmentsBefore, segmentPath} from './segments.js';
import {readSnapshot, snapshotFileParts} from './snapshot-file.js';

export type LoadedLog = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot | null;
	readonly entries: LogEntry[];
	/** Size of a torn last write that was truncated. */
	readonly cutBytes: number;
};

/** Persistent log and state of a consensus member. */
export type LogStore = {
	readonly loaded: LoadedLog;
	/** Writes all records, with one sync unless they are long; once the promise resolves they survive a crash. */
	append(records: readonly LogRecord[]): Promise<void>;
	/** Replaces the log by the snapshot, and restarts it with the entries of `tail`. */
	saveSnapshot(snapshot: Snapshot, hardState: HardState, tail: readonly LogEntry[]): Promise<void>;
	readonly syncCount: () => number;
	close(): Promise<void>;
};

type ReplayedLog = Pick<LoadedLog, 'hardState' | 'entries'>;

const replay = (records: readonly LogRecord[], baseIndex: number): ReplayedLog => {
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
 * After a crash between saving a snapshot and restarting the log, the old entries
 * still exist. Those after the snapshot are used only if the old log has an entry
 * with the snapshot's index and term: a snapshot received from the leader may have
 * replaced a diverged log, whose remaining entries contradict committed ones.
 */
const entriesAfterSnapshot = (entries: readonly LogEntry[], baseIndex: number, snapshot: Snapshot | null): LogEntry[] => {
	const snapshotIndex = snapshot?.index ?? 0;
	if (snapshotIndex < baseIndex) {
		throw new DamagedLogError(`the log continues from a snapshot at entry ${baseIndex}, but the stored snapshot is at entry ${snapshotIndex}; restore this host from its peers`);
	}

	if (snapshotIndex === baseIndex) {
		return [...entries];
	}

	const isSameLog = entries[snapshotIndex - baseIndex - 1]?.term === snapshot!.term;
	return isSameLog ? entries.slice(snapshotIndex - baseIndex) : [];
};

export type OpenLogStoreOptions = {
	readonly folder: string;
	/** Size after which a new segment is started. @default 16777216 */
	readonly segmentBytes?: number;
	/** Awaited between the parts of a snapshot. @default no pause other than the write itself, which yields to the event loop */
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
 * Opens the log in `folder`: a snapshot and the segments after it. A torn tail,
 * as left by a crash during a write, is truncated: nothing in it was ever
 * acknowledged. Damage before the tail throws `DamagedLogError`, because
 * acknowledged entries are lost.
 */
export const openLogStore = async ({folder, segmentBytes = 16 * 1024 * 1024, pause = noPause}: OpenLogStoreOptions): Promise<LogStore> => {
	await mkdir(folder, {recursive: true});
	const snapshotPath = path.join(folder, 'snapshot.json');
	const snapshotData = await readIfPresent(snapshotPath);
	const snapshot = snapshotData === null ? null : readSnapshot(snapshotData, snapshotPath);
	const {records, lastSequence, lastBytes, snapshotIndex, cutBytes} = await readSegments(folder);
	const {hardState, entries} = replay(records, snapshotIndex);
	const loaded: LoadedLog = {
		hardState, snapshot, entries: entriesAfterSnapshot(entries, snapshotIndex, snapshot), cutBytes,
	};
	let sequence = lastSequence;
	let sizeBytes = lastBytes;
	let file: FileHandle | null = null;
	let syncs = 0;
	let failure: Error | null = null;

	/** Starts the next segment, which exists durably under its name before any of its records is acknowledged. */
	const startSegment = async (start: Omit<SegmentStart, 'type' | 'sequence'>, first: readonly LogRecord[]): Promise<void> => {
		const next = sequence + 1;
		let writtenBytes = 0;
		const frames = function * (): Generator<Buffer> {
			for (const frame of encodeFrames([{type: 'segmentStart', sequence: next, ...start}, ...first])) {
				writtenBytes += frame.length;
				yield frame;
			}
		};

		await file?.close();
		file = null;
		await replaceFile(segmentPath(folder, next), frames());
		file = await open(segmentPath(folder, next), 'a');
		sequence = next;
		sizeBytes = writtenBytes;
	};

	/** Fails all calls after a failed write or sync: the content on disk is then unknown, and a later success would acknowledge a log with a gap. */
	const failAfterError = async (work: () => Promise<void>): Promise<void> => {
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
			throw new DamagedLogError(`${folder}: found a snapshot but no log; restore this host from its peers`);
		}

		await startSegment({previousBytes: null, snapshotIndex: 0}, []);
	} else {
		file = await open(segmentPath(folder, sequence), 'a');
	}

	await syncFolder(folder);
	return {
		loaded,
		append: async appended => failAfterError(async () => {
			for (const frame of encodeFrames(appended)) {
				if (sizeBytes >= segmentBytes) {
					await startSegment({previousBytes: sizeBytes, snapshotIndex: 0}, []);
				}

				await file!.appendFile(frame);
				await file!.datasync();
				sizeBytes += frame.length;
				syncs++;
			}
		}),
		saveSnapshot: async (saved, savedHardState, tail) => failAfterError(async () => {
			// The old snapshot and segments are kept until the new snapshot is durable; on replay, entries that the snapshot contains are skipped.
			await replaceFile(snapshotPath, withPauses(snapshotFileParts(saved), pause));
			await startSegment({previousBytes: null, snapshotIndex: saved.index}, [{type: 'hardState', hardState: savedHardState}, ...tail.map(entry => ({type: 'entry', entry}) as const)]);
			await removeSegmentsBefore(folder, sequence);
		}),
		syncCount: () => syncs,
		async close() {
			await file?.close();
		},
	};
};
