import {existsSync} from 'node:fs';
import t from 'tap';
import {testFolder} from '@bitternpaddle/test-support';

// A node writes to its folder until a teardown closes it. If the folder were removed
// first, the removal would fail occasionally, and the node would stay open.
t.test('a folder exists until all teardowns have run', async t => {
	let folder = '';
	let existsAtTeardown = false;
	await t.test('with a node', async inner => {
		folder = testFolder(inner);
		inner.teardown(() => {
			existsAtTeardown = existsSync(folder);
		});
	});
	t.ok(existsAtTeardown);
	t.notOk(existsSync(folder), 'and removed afterwards');
});
