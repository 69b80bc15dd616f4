import {Buffer} from 'node:buffer';
import t from 'tap';
import {createEventSplitter} from '@bitternpaddle/gateway';

const push = (splitter: ReturnType<typeof createEventSplitter>, text: string): string | null => splitter.push(Buffer.from(text))?.toString() ?? null;

t.test('only complete events are forwarded, whatever the chunk boundaries', async t => {
	const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n';
	for (let size = 1; size < text.length; size++) {
		const splitter = createEventSplitter();
		let forwarded = '';
		for (let offset = 0; offset < text.length; offset += size) {
			forwarded += push(splitter, text.slice(offset, offset + size)) ?? '';
		}

		t.equal(forwarded, text);
		t.equal(splitter.lastId(), '3');
		t.equal(splitter.pendingBytes(), 0);
	}
});

// Guards against forwarding part of an event: an endpoint crashes in the middle of its third
// event. The caller must get two events, and the next endpoint resumes after the second.
t.test('an incomplete event is withheld', async t => {
	const splitter = createEventSplitter();
	t.equal(push(splitter, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'), 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
	t.equal(splitter.lastId(), '2');
	t.ok(splitter.pendingBytes() > 0);
});
