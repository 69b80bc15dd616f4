import {existsSync} from 'node:fs';
import t from 'tap';
import {testFolder} from '@bitternpaddle/test-support';

// A node writes to its folder until it is closed by a teardown. Were the folder
// removed first, the removal would fail now and then, and the node stay open.
t.test('a folder is there until what uses it has been torn down', async t => {
	let folder = '';
	let isThere = false;
	await t.test('with a node', async inner => {
		folder = testFolder(inner);
		inner.teardown(() => {
			isThere = existsSync(folder);
		});
	});
	t.ok(isThere);
	t.notOk(existsSync(folder), 'and removed afterwards');
});
