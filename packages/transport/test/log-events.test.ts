import {readFile} from 'node:fs/promises';
import t from 'tap';
import {logEvents} from '@bitternpaddle/transport';

t.test('the catalogue page and the code have the same events', async t => {
	const page = await readFile('docs/operations/log-events.md', 'utf8');
	const rows = page.split('\n').filter(line => line.startsWith('| BP'));
	const fromCode = Object.entries(logEvents).map(([id, {level, text, advice}]) => `| ${id} | ${level} | ${text} | ${advice} |`);
	t.same(rows, fromCode);
});
