import {Buffer} from 'node:buffer';
import {
	mkdir, open, readFile, rename, rm, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {crc32} from 'node:zlib';
import {Either, Left} from 'purify-ts';
import {z} from 'zod';
import {commandSchema} from '../catalog/types.js';

/** The control hosts: voters decide, learners only receive the log. */
export const membersSchema = z.object({voters: z.array(z.string()), learners: z.array(z.string())});
export type Members = z.infer<typeof membersSchema>;

/** One slot of the replicated log. */
export const logEntrySchema = z.object({
	index: z.number().int().positive(),
	term: z.number().int().nonnegative(),
	payload: z.discriminatedUnion('type', [
		z.object({type: z.literal('command'), command: commandSchema}),
		/** Takes effect as soon as it is appended; at most one voter differs from the members before. */
		z.object({type: z.literal('members'), members: membersSchema}),
	]),
});
export type LogEntry = z.infer<typeof logEntrySchema>;

/** A voter's promise; it must be on disk before anyone hears of it. */
export const hardStateSchema = z.object({term: z.number().int().nonnegative(), votedFor: z.string().nullable()});
export type HardState = z.infer<typeof hardStateSchema>;

export const snapshotSchema = z.object({
	index: z.number().int().nonnegative(),
	term: z.number().int().nonnegative(),
	members: membersSchema,
	/** Canonical JSON of the replicated state. */
	state: z.string(),
});
export type Snapshot = z.infer<typeof snapshotSchema>;

const recordSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('hardState'), hardState: hardStateSchema}),
	z.object({type: z.literal('entry'), entry: logEntrySchema}),
	z.object({type: z.literal('truncate'), fromIndex: z.number().int()}),
]);
export type LogRecord = z.infer<typeof recordSchema>;

export type LoadedLog = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot | null;
	readonly entries: LogEntry[];
	/** Bytes of a torn last record that were cut off. */
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

export class DamagedLogError extends Error {
	override readonly name = 'DamagedLogError';
}

const headerBytes = 8;

const encodeRecord = (record: LogRecord): Buffer => {
	const body = Buffer.from(JSON.stringify(record));
	const header = Buffer.alloc(headerBytes);
	header.writeUInt32LE(body.length, 0);
	header.writeUInt32LE(crc32(body), 4);
	return Buffer.concat([header, body]);
};

type Decoded = {readonly records: LogRecord[]; readonly goodBytes: number};

const decodeRecords = (data: Buffer, fileName: string): Decoded => {
	const records: LogRecord[] = [];
	let offset = 0;
	while (offset + headerBytes <= data.length) {
		const sizeBytes = data.readUInt32LE(offset);
		const end = offset + headerBytes + sizeBytes;
		if (end > data.length) {
			break;
		}

		const body = data.subarray(offset + headerBytes, end);
		if (crc32(body) !== data.readUInt32LE(offset + 4)) {
			// A torn write can only be the last; a bad record with more behind it means that synced data was lost.
			if (end === data.length) {
				break;
			}

			throw new DamagedLogError(`${fileName}: record at byte ${offset} is damaged and ${data.length - end} bytes follow it; restore this host from its peers`);
		}

		records.push(recordSchema.parse(JSON.parse(body.toString())));
		offset = end;
	}

	return {records, goodBytes: offset};
};

const readIfPresent = async (filePath: string): Promise<Buffer | null> => {
	try {
		return await readFile(filePath);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return null;
		}

		throw error;
	}
};

const syncFolder = async (folder: string): Promise<void> => {
	const handle = await open(folder, 'r');
	await handle.sync();
	await handle.close();
};

const writeSynced = async (filePath: string, data: Buffer | string): Promise<void> => {
	const handle = await open(filePath, 'w');
	await handle.writeFile(data);
	await handle.sync();
	await handle.close();
};

const replay = (records: readonly LogRecord[], snapshot: Snapshot | null): Pick<LoadedLog, 'hardState' | 'entries'> => {
	let hardState: HardState = {term: 0, votedFor: null};
	const entries: LogEntry[] = [];
	const firstIndex = (snapshot?.index ?? 0) + 1;
	for (const record of records) {
		if (record.type === 'hardState') {
			({hardState} = record);
		} else if (record.type === 'truncate') {
			entries.length = Math.min(entries.length, Math.max(0, record.fromIndex - firstIndex));
		} else if (record.entry.index >= firstIndex) {
			entries.length = Math.min(entries.length, record.entry.index - firstIndex);
			entries.push(record.entry);
		}
	}

	return {hardState, entries};
};

export type OpenLogStoreOptions = {readonly folder: string};

/**
 * Opens the log in `folder`. A torn tail, as a crash in mid-write leaves it,
 * is cut: nothing in it was ever acknowledged. Damage before the tail throws
 * `DamagedLogError`, because acknowledged entries are gone.
 */
export const openLogStore = async ({folder}: OpenLogStoreOptions): Promise<LogStore> => {
	await mkdir(folder, {recursive: true});
	const logPath = path.join(folder, 'log');
	const snapshotPath = path.join(folder, 'snapshot.json');
	const snapshotData = await readIfPresent(snapshotPath);
	const snapshot = snapshotData === null ? null : readSnapshot(snapshotData);
	const data = await readIfPresent(logPath) ?? Buffer.alloc(0);
	const {records, goodBytes} = decodeRecords(data, logPath);
	let file: FileHandle = await open(logPath, 'a');
	if (goodBytes < data.length) {
		await file.truncate(goodBytes);
		await file.sync();
	}

	await syncFolder(folder);
	let syncs = 0;
	return {
		loaded: {...replay(records, snapshot), snapshot, cutBytes: data.length - goodBytes},
		async append(appended) {
			await file.appendFile(Buffer.concat(appended.map(record => encodeRecord(record))));
			await file.datasync();
			syncs++;
		},
		async saveSnapshot(saved, hardState, tail) {
			const body = JSON.stringify(saved);
			await writeSynced(`${snapshotPath}.new`, JSON.stringify({crc: crc32(body), body}));
			await rename(`${snapshotPath}.new`, snapshotPath);
			// The old log stays until the snapshot is durable; replay skips the entries that both hold.
			await syncFolder(folder);
			const records: LogRecord[] = [{type: 'hardState', hardState}, ...tail.map(entry => ({type: 'entry', entry}) as const)];
			await writeSynced(`${logPath}.new`, Buffer.concat(records.map(record => encodeRecord(record))));
			await rename(`${logPath}.new`, logPath);
			await syncFolder(folder);
			await file.close();
			file = await open(logPath, 'a');
		},
		syncCount: () => syncs,
		async close() {
			await file.close();
		},
	};
};

const snapshotFileSchema = z.object({crc: z.number(), body: z.string()});

const readSnapshot = (data: Buffer): Snapshot => Either
	.encase(() => snapshotFileSchema.parse(JSON.parse(data.toString())))
	.chain(({crc, body}) => crc32(body) === crc ? Either.encase(() => snapshotSchema.parse(JSON.parse(body))) : Left(new Error('wrong checksum')))
	.mapLeft(({message}) => new DamagedLogError(`snapshot.json is damaged (${message}); restore this host from its peers`))
	.unsafeCoerce();

/** Deletes everything a disk host kept. The host may return only as a new member. */
export const removeLogStore = async (folder: string): Promise<void> => {
	await rm(folder, {recursive: true, force: true});
};
