import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {
	createDevCluster, replayRecording, sendLine, waitUntil,
} from '@bitternpaddle/daemon';
import {testFolder} from '@bitternpaddle/test-support';
import t from 'tap';

t.test('the recorded trace of a session replays with the same decisions', async t => {
	const text = await readFile('test/traces/first-session.jsonl', 'utf8');
	t.match(replayRecording(text), {type: 'same'});
});

t.test('a trace with a changed event is reported as different, with the line number', async t => {
	const lines = (await readFile('test/traces/first-session.jsonl', 'utf8')).split('\n');
	const position = lines.findIndex(line => line.includes('"type":"appendRequest"'));
	lines[position] = lines[position]!.replace(/"term":\d+/v, '"term":99');
	t.match(replayRecording(lines.join('\n')), {type: 'different', line: position + 1});
});

t.test('a new recording replays with the same decisions', async t => {
	const recordFile = path.join(testFolder(t), 'trace.jsonl');
	const cluster = await createDevCluster({
		engines: 0, entries: 1, controls: 1, recordFile,
	});
	await waitUntil('a change is accepted', async () => {
		const {status} = await sendLine({
			address: cluster.entries[0]!.address, token: cluster.adminToken, line: 'create model pitch-desk', commandId: 'c1',
		});
		return status === 200;
	});
	await cluster.close();
	t.match(replayRecording(await readFile(recordFile, 'utf8')), {type: 'same'});
});
