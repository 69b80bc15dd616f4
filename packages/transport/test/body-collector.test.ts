import {Buffer} from 'node:buffer';
import t from 'tap';
import {createBodyCollector} from '@bitternpaddle/transport';

const sizeBytes = 1_000_000;

const content = Buffer.from(Array.from({length: sizeBytes}, (_, index) => index % 251));

/** Splits the content into parts of these sizes, again and again. */
const split = (sizes: readonly number[]): Buffer[] => {
	const parts: Buffer[] = [];
	let offset = 0;
	while (offset < sizeBytes) {
		const size = sizes[parts.length % sizes.length]!;
		parts.push(content.subarray(offset, offset + size));
		offset += size;
	}

	return parts;
};

// Guards against memory that follows the number of a body's parts.
t.test('the memory of a body is at most twice its size, whatever its parts', async t => {
	for (const sizes of [[1], [16], [4096], [65_536], [4096, 1], [1, 5000, 3], [sizeBytes]]) {
		const collector = createBodyCollector();
		let isBounded = true;
		for (const part of split(sizes)) {
			collector.add(part);
			isBounded &&= collector.heldBytes() <= 8192 + (2 * collector.sizeBytes());
		}

		t.ok(isBounded, `parts of ${String(sizes)} bytes`);
		t.equal(collector.sizeBytes(), sizeBytes);
		t.ok(collector.take().equals(content), `parts of ${String(sizes)} bytes`);
		t.equal(collector.heldBytes(), 0);
	}
});
