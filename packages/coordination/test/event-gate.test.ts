import {Buffer} from 'node:buffer';
import t from 'tap';
import {createEventGate, passEvents} from '@bitternpaddle/coordination';

const stream = 'data: one\n\ndata: two\n\ndata: [DONE]\n\n';

// Callers stop reading at [DONE]. However the bytes are split into chunks, [DONE] must
// not be forwarded before the answer's end marker has been checked, and no byte may
// be lost or reordered.
t.test('the end of a stream is withheld however the bytes are split', async t => {
	for (let size = 1; size <= stream.length; size++) {
		const gate = createEventGate();
		let passed = '';
		for (let offset = 0; offset < stream.length; offset += size) {
			passed += passEvents(gate, Buffer.from(stream.slice(offset, offset + size))).toString();
		}

		t.equal(passed, 'data: one\n\ndata: two\n\n');
		t.equal(gate.held.toString(), 'data: [DONE]\n\n');
	}
});

t.test('events with CRLF line ends are forwarded, and a very large event is not withheld', async t => {
	const gate = createEventGate();
	t.equal(passEvents(gate, Buffer.from('data: one\r\n\r\ndata: t')).toString(), 'data: one\r\n\r\n');
	t.equal(passEvents(gate, Buffer.alloc(100_000, 'x')).length, 100_007);
});
