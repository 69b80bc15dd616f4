import {mkdirSync, openSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import t from 'tap';
import {testFolder} from '@bitternpaddle/test-support';
import {createLineLogger} from '@bitternpaddle/gateway';

type Line = {event: string; requestId?: number; omitted?: Record<string, number>};

const linesOf = (filePath: string): Line[] => readFileSync(filePath, 'utf8').split('\n').filter(text => text !== '').map(text => JSON.parse(text) as Line);

// Thousands of refused requests would each write a line. The output is limited and the
// omitted lines are counted, so that readers can tell that the log is incomplete.
t.test('lines of an event beyond its rate limit are counted instead of written', async t => {
	const folder = testFolder(t);
	mkdirSync(folder, {recursive: true});
	const filePath = path.join(folder, 'log');
	const logger = createLineLogger({labels: {host: 'h1'}, linesPerSecond: 5, fileDescriptor: openSync(filePath, 'w')});
	for (let requestId = 0; requestId < 100; requestId++) {
		logger.event('BP4021', {requestId});
	}

	logger.event('BP4001', {});
	await delay(1100);
	logger.event('BP4021', {requestId: 100});
	await delay(50);
	const lines = linesOf(filePath);
	t.same(lines.filter(({event}) => event === 'BP4021').map(({requestId}) => requestId), [0, 1, 2, 3, 4, 100]);
	t.equal(lines.filter(({event}) => event === 'BP4001').length, 1, 'other events are not affected');
	t.same(lines.find(({event}) => event === 'BP4090')?.omitted, {BP4021: 95});
});
