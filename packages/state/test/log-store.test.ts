import {
	appendFile, readFile, truncate, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import t from 'tap';
import {DamagedLogError, openLogStore, type LogEntry} from '@bitternpaddle/state';

const entry = (index: number): LogEntry => ({index, term: 1, payload: {type: 'command', command: {commandId: null, ifRevision: null, change: {type: 'noop'}}}});

const write = async (folder: string, count: number): Promise<void> => {
	const store = await openLogStore({folder});
	await store.append(Array.from({length: count}, (_, position) => ({type: 'entry', entry: entry(position + 1)}) as const));
	await store.close();
};

// The host loses power in the middle of a write. The record that was being
// written was never acknowledged, so the host starts without it.
t.test('a torn tail is cut', async t => {
	const folder = t.testdir();
	await write(folder, 3);
	const file = path.join(folder, 'log');
	const {length} = await readFile(file);
	await truncate(file, length - 5);
	const store = await openLogStore({folder});
	t.same(store.loaded.entries.map(({index}) => index), [1, 2]);
	t.ok(store.loaded.cutBytes > 0);
	await store.append([{type: 'entry', entry: entry(3)}]);
	await store.close();
	const again = await openLogStore({folder});
	t.same(again.loaded.entries.map(({index}) => index), [1, 2, 3]);
	t.equal(again.loaded.cutBytes, 0);
	await again.close();
});

// A sector in the middle goes bad. Entries that were acknowledged are gone, so
// the host must not start as if they had never been.
t.test('damage before the tail refuses to start', async t => {
	const folder = t.testdir();
	await write(folder, 3);
	const file = path.join(folder, 'log');
	const data = await readFile(file);
	data[20] = 255 - data[20]!;
	await writeFile(file, data);
	await t.rejects(openLogStore({folder}), DamagedLogError);
});

t.test('a snapshot and a tail are read back, also when the old log is still there', async t => {
	const folder = t.testdir();
	await write(folder, 4);
	const old = await readFile(path.join(folder, 'log'));
	const store = await openLogStore({folder});
	await store.saveSnapshot({
		index: 3, term: 1, members: {voters: ['a'], learners: []}, state: '{}',
	}, {term: 2, votedFor: 'a'}, [entry(4)]);
	await store.close();
	const after = await openLogStore({folder});
	t.same(after.loaded.entries.map(({index}) => index), [4]);
	t.same(after.loaded.hardState, {term: 2, votedFor: 'a'});
	await after.close();
	await writeFile(path.join(folder, 'log'), old);
	await appendFile(path.join(folder, 'log'), '');
	const crashed = await openLogStore({folder});
	t.same(crashed.loaded.entries.map(({index}) => index), [4]);
	await crashed.close();
});
