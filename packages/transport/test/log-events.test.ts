import {readFile} from 'node:fs/promises';
import t from 'tap';
import {logEvents} from '@bitternpaddle/transport';

t.test('the log event page lists the same events as the code', async t => {
	const page = await readFile('docs/operations/log-events.md', 'utf8');
	const rows = page.split('\n').filter(line => line.startsWith('| BP'));
	const fromCode = Object.entries(logEvents).map(([id, {level, text, advice}]) => `| ${id} | ${level} | ${text} | ${advice} |`);
	t.same(rows, fromCode);
});
