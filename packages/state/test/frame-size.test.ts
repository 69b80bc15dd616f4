import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {testFolder} from '@bitternpaddle/test-support';
import t from 'tap';
import {openLogStore, type LogEntry, type LogRecord} from '@bitternpaddle/state';

const magic = Uint8Array.from([0xFF, 0xB1, 0x7E, 0xFE]);
const maxFrameBytes = 1_100_000;

const entryOf = (index: number): LogEntry => ({index, term: 1, payload: {type: 'document', document: {kind: 'configuration', number: index, text: 'x'.repeat(400_000)}}});

const entries = Array.from({length: 20}, (_, position) => entryOf(position + 1));

/** Sizes of the frames in all segments of a folder. */
const frameBytes = (folder: string): number[] => readdirSync(folder).filter(name => name.startsWith('log-')).flatMap(name => {
	const data = readFileSync(path.join(folder, name));
	const sizes: number[] = [];
	for (let offset = data.indexOf(magic); offset !== -1;) {
		const next = data.indexOf(magic, offset + 1);
		sizes.push((next === -1 ? data.length : next) - offset);
		offset = next;
	}

	return sizes;
});

// Guards against a group commit of many long entries that is encoded as one text of tens of megabytes.
t.test('a group commit of long entries is written in frames of bounded size', async t => {
	const folder = testFolder(t);
	const store = await openLogStore({folder, segmentBytes: 4 * 1024 * 1024});
	await store.append(entries.map((entry): LogRecord => ({type: 'entry', entry})));
	t.ok(frameBytes(folder).every(sizeBytes => sizeBytes <= maxFrameBytes), `${Math.max(...frameBytes(folder))} bytes`);
	await store.close();
	const reopened = await openLogStore({folder});
	t.ok(JSON.stringify(reopened.loaded.entries) === JSON.stringify(entries), 'all entries are read back');
	await reopened.saveSnapshot({
		index: 1, term: 1, members: {voters: ['a'], learners: []}, state: '{}',
	}, {term: 1, votedFor: null}, entries.slice(1));
	t.ok(frameBytes(folder).every(sizeBytes => sizeBytes <= maxFrameBytes), 'also the entries after a snapshot');
	await reopened.close();
	const last = await openLogStore({folder});
	t.ok(JSON.stringify(last.loaded.entries) === JSON.stringify(entries.slice(1)), 'and are read back');
	await last.close();
});
