import {Buffer} from 'node:buffer';
import {
	cp, readdir, readFile, rm, truncate, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import t from 'tap';
import {testFolder} from '@bitternpaddle/test-support';
import {
	DamagedLogError, openLogStore, type LogEntry, type LogRecord,
} from '@bitternpaddle/state';

const entry = (index: number, term = 1): LogEntry => ({index, term, payload: {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}}});
const record = (index: number): LogRecord => ({type: 'entry', entry: entry(index)});
const members = {voters: ['a'], learners: []};

/** Writes each entry with a separate sync, so that each has a frame of its own. */
const write = async (folder: string, count: number, segmentBytes?: number): Promise<string[]> => {
	const store = await openLogStore({folder, segmentBytes});
	for (let index = 1; index <= count; index++) {
		await store.append([record(index)]);
	}

	await store.close();
	const names = await readdir(folder);
	return names.filter(name => name.startsWith('log-')).toSorted().map(name => path.join(folder, name));
};

const loadedIndexes = async (folder: string): Promise<number[]> => {
	const store = await openLogStore({folder});
	await store.close();
	return store.loaded.entries.map(({index}) => index);
};

const frameStarts = (data: Buffer): number[] => {
	const starts: number[] = [];
	for (let at = data.indexOf(0xFF); at !== -1; at = data.indexOf(0xFF, at + 1)) {
		if (data[at + 1] === 0xB1 && data[at + 2] === 0x7E && data[at + 3] === 0xFE) {
			starts.push(at);
		}
	}

	return starts;
};

// The host loses power during a write, at any byte of it, or after the file has grown but
// before the data reached the disk, so that it ends in zeros. The frame was never
// acknowledged: the host must start without it and continue.
t.test('a torn or zero-filled tail of any length is truncated', async t => {
	const folder = testFolder(t);
	const [file] = await write(folder, 3) as [string];
	const data = await readFile(file);
	const last = frameStarts(data).at(-1)!;
	for (let length = last; length < data.length; length++) {
		for (const tail of [data.subarray(0, length), Buffer.concat([data.subarray(0, length), Buffer.alloc(data.length - length)])]) {
			await writeFile(file, tail);
			const isUnchanged = tail.equals(data);
			if (!isUnchanged) {
				t.same(await loadedIndexes(folder), [1, 2], `cut at ${length}`);
			}
		}
	}

	const store = await openLogStore({folder});
	await store.append([record(3)]);
	await store.close();
	t.same(await loadedIndexes(folder), [1, 2, 3]);
});

// A byte before the last frame is corrupted, in a frame's body, checksum or size.
// Acknowledged entries are lost, so the host must not start without them: it could help
// to elect a leader that lacks them.
t.test('the store does not open if any byte before the last frame is damaged', async t => {
	const folder = testFolder(t);
	const [file] = await write(folder, 3) as [string];
	const data = await readFile(file);
	const last = frameStarts(data).at(-1)!;
	let refused = 0;
	for (let position = 0; position < last; position++) {
		for (const value of [255 - data[position]!, 0]) {
			const damaged = Buffer.from(data);
			damaged[position] = value;
			if (damaged.equals(data)) {
				refused++;
				continue;
			}

			await writeFile(file, damaged);
			const error: unknown = await loadedIndexes(folder).catch((error: unknown) => error);
			refused += error instanceof DamagedLogError ? 1 : 0;
		}
	}

	t.equal(refused, 2 * last);
});

// The log has several segments, and one before the last is truncated, emptied or missing.
// The host must not start, since only the last segment may have a torn end.
t.test('the store does not open if a segment before the last is truncated or missing', async t => {
	const folder = testFolder(t);
	const files = await write(folder, 6, 1);
	t.equal(files.length, 7, 'the first one holds no entry');
	t.same(await loadedIndexes(folder), [1, 2, 3, 4, 5, 6]);
	const middle = files[2]!;
	const data = await readFile(middle);
	for (const start of frameStarts(data)) {
		await truncate(middle, start);
		await t.rejects(openLogStore({folder}), DamagedLogError, `cut at ${start}`);
	}

	await rm(middle);
	await t.rejects(openLogStore({folder}), DamagedLogError, 'gone');
});

t.test('a snapshot and the entries after it are read back, and old segments are removed', async t => {
	const folder = testFolder(t);
	await write(folder, 4, 1);
	const before = path.join(t.testdirName, '..', `${path.basename(t.testdirName)}-old`);
	await cp(folder, before, {recursive: true});
	t.teardown(async () => rm(before, {recursive: true, force: true}));
	const store = await openLogStore({folder});
	await store.saveSnapshot({
		index: 3, term: 1, members, state: '{}',
	}, {term: 2, votedFor: 'a'}, [entry(4)]);
	await store.append([record(5)]);
	await store.close();
	t.same((await readdir(folder)).length, 2, 'one snapshot, one segment');
	const after = await openLogStore({folder});
	t.same(after.loaded.entries.map(({index}) => index), [4, 5]);
	t.same(after.loaded.hardState, {term: 2, votedFor: 'a'});
	await after.close();
	await cp(path.join(folder, 'snapshot.json'), path.join(before, 'snapshot.json'));
	t.same(await loadedIndexes(before), [4], 'a crash before the old log was replaced');
	await rm(path.join(folder, 'snapshot.json'));
	await t.rejects(openLogStore({folder}), DamagedLogError, 'the snapshot is lost');
});

// A lagging host has entries that a later leader has replaced. It installs that leader's
// snapshot and crashes before it has replaced its old log. The old entries after the
// snapshot must not be loaded: they contradict committed entries.
t.test('a log that diverges from an installed snapshot is discarded', async t => {
	const folder = testFolder(t);
	const files = await write(folder, 6);
	const old = await readFile(files[0]!);
	const store = await openLogStore({folder});
	await store.saveSnapshot({
		index: 4, term: 3, members, state: '{}',
	}, {term: 3, votedFor: null}, []);
	await store.close();
	for (const name of await readdir(folder)) {
		if (name.startsWith('log-')) {
			await rm(path.join(folder, name));
		}
	}

	await writeFile(files[0]!, old);
	t.same(await loadedIndexes(folder), []);
});

// The host loses power while it writes a snapshot, after any part of it. It must load the
// old snapshot and the log after it; if the new one were written in place, the host would
// start with neither.
t.test('after a crash while a snapshot is written, the old one is loaded', async t => {
	const folder = t.testdir({log: {}, crashes: {}});
	const crashes: string[] = [];
	const log = path.join(folder, 'log');
	const store = await openLogStore({
		folder: log,
		async pause() {
			const crash = path.join(folder, 'crashes', String(crashes.length));
			crashes.push(crash);
			await cp(log, crash, {recursive: true});
		},
	});
	await store.append([record(1), record(2)]);
	await store.saveSnapshot({
		index: 2, term: 1, members, state: 'old',
	}, {term: 1, votedFor: 'a'}, []);
	await store.append([record(3), record(4)]);
	const olderCrashes = crashes.length;
	// Contains quotes, a surrogate pair at the end of a part, and a lone surrogate.
	const state = `"\\${'x'.repeat(65_533)}😀${'y'.repeat(200_000)}\uD83D`;
	await store.saveSnapshot({
		index: 4, term: 1, members, state,
	}, {term: 1, votedFor: 'a'}, []);
	await store.close();
	t.ok(crashes.length - olderCrashes >= 5, 'the snapshot has many parts');
	for (const crash of crashes.slice(olderCrashes)) {
		const {loaded, close} = await openLogStore({folder: crash});
		await close();
		t.equal(loaded.snapshot?.state, 'old', crash);
		t.same(loaded.entries.map(({index}) => index), [3, 4], crash);
	}

	const complete = await openLogStore({folder: log});
	await complete.close();
	t.equal(complete.loaded.snapshot?.state, state);
	t.same(complete.loaded.entries, []);
});
