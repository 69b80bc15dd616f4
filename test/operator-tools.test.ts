import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import t, {type Test} from 'tap';
import {
	createDevCluster, postJson, sendLine, waitUntil, type DevCluster, type DevClusterOptions,
} from '@bitternpaddle/daemon';
import {testFolder} from '@bitternpaddle/test-support';
import {runProgram} from './support/run-program.js';

const startCluster = async (t: Test, options: DevClusterOptions) => {
	const cluster = await createDevCluster(options);
	t.teardown(async () => cluster.close());
	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	await waitUntil('all agents joined', async () => (await sendLine({...client, line: 'show hosts where role = agent'})).body.rows?.length === cluster.agents.length);
	return {cluster, client, flags: ['--address', client.address, '--token', client.token]};
};

const setUp = (cluster: DevCluster, replicas: number): string => [
	'# the first version',
	'create team marshals key marshals-key',
	'',
	'create model pitch-desk',
	`create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}`,
	`create fleet fair provider new for pitch-desk:v1 replicas ${replicas}`,
	'load pitch-desk:v1 on fleet fair',
].join('\n');

t.test('a script waits for each step, and stops at the first error with its line number', async t => {
	const {cluster, client, flags} = await startCluster(t, {engines: 2, entries: 1});
	const file = path.join(testFolder(t), 'set-up.txt');
	await writeFile(file, setUp(cluster, 2));
	const done = await runProgram(['script', file, ...flags, '--wait']);
	t.equal(done.code, 0, done.text);
	t.match(done.text, /2\/2 replicas ready, 32\/32 chunks, 2,\d{3},\d{3} bytes moved/v);
	t.equal((await sendLine({...client, line: 'show replicas where ready = true'})).body.rows?.length, 2, 'the wait ended only when both were ready');

	await writeFile(file, 'show models\ncreate model night-desk\n\ndrian host h1\ncreate model never\n');
	const stopped = await runProgram(['script', file, ...flags]);
	t.equal(stopped.code, 2);
	t.match(stopped.text, 'drian host h1\n^\nexpected "create", "drain"');
	t.ok(stopped.text.endsWith(`${file}:4: stopped here\n`), stopped.text);
	t.same((await sendLine({...client, line: 'show models'})).body.rows?.map(({model}) => model), ['night-desk', 'pitch-desk'], 'the lines after the error were not run');

	await writeFile(file, 'create fleet large provider new for pitch-desk:v1 replicas 9\nload pitch-desk:v1 on fleet large');
	const late = await runProgram(['script', file, ...flags, '--wait', '--timeout-seconds', '1']);
	t.equal(late.code, 3);
	t.match(late.text, /accepted, but not done within 1 s: 0\/9 replicas ready/v);
});

t.test('the shell prints responses and help, and keeps a history without keys', async t => {
	const {flags} = await startCluster(t, {engines: 0, entries: 1});
	const history = path.join(testFolder(t), 'history');
	const run = await runProgram(['shell', ...flags, '--history', history], 'create model pitch-desk\ncreate team marshals key marshals-key\nshow models\nhelp\nshow modles\nexit\nshow teams\n');
	t.equal(run.code, 0);
	t.match(run.text, /accepted at revision \d+/v);
	t.match(run.text, 'model       traffic\npitch-desk');
	t.match(run.text, 'drain host HOST\n    Takes work off a host');
	t.match(run.text, 'show modles\n     ^\nexpected "adapters", "fleets"');
	t.notMatch(run.text, 'share\nmarshals', 'nothing is run after exit');
	t.equal(await readFile(history, 'utf8'), 'create model pitch-desk\nshow models\nshow modles\n');
});

// A stream runs through the second entry when an operator queries the first one
// about it: it must be listed, explained by its id while it runs and after it has
// ended, and the explanation of its host must differ from that of a host that
// does not serve.
t.test('requests and replicas are explained through any entry', async t => {
	const {cluster, client, flags} = await startCluster(t, {engines: 2, entries: 2});
	const file = path.join(testFolder(t), 'set-up.txt');
	await writeFile(file, setUp(cluster, 1));
	t.equal((await runProgram(['script', file, ...flags, '--wait'])).code, 0);
	for (const engine of cluster.engines) {
		engine.faults.stallMs = 40;
	}

	const stream = postJson({
		address: cluster.entries[1]!.address, token: 'marshals-key', path: '/v1/chat/completions', body: {
			model: 'pitch-desk', stream: true, max_tokens: 40, messages: [{role: 'user', content: 'hello'}],
		},
	});
	let id = '';
	await waitUntil('the stream is listed', async () => {
		const {body} = await sendLine({...client, line: 'show requests in flight where team = marshals and answering = true'});
		id = String(body.rows?.[0]?.request ?? '');
		return id !== '';
	});
	const {body: {rows: [row]}} = await sendLine({...client, line: 'show requests in flight'}) as {body: {rows: Array<Record<string, unknown>>}};
	t.match(row, {
		request: id, entry: 'entry-2', team: 'marshals', target: 'pitch-desk', host: /^h[12]$/v, attempts: 1,
	});
	t.match(
		(await runProgram(['query', ...flags, `explain request ${id}`])).text,
		/arrived +at entry-2.* team marshals, for pitch-desk \(service bp-writers\)[\s\S]*attempt 1 +host h[12]: answers[\s\S]*in flight/v,
	);
	const answer = await stream;
	t.equal(answer.headers['x-bitternpaddle-request-id'], id);
	await waitUntil('the stream has ended', async () => (await sendLine({...client, line: 'show requests in flight'})).body.rows?.length === 0);
	t.match((await runProgram(['query', ...flags, `explain request ${id}`])).text, /first byte +of the answer[\s\S]*ended +answered, status 200, version pitch-desk:v1/v);
	t.match(await sendLine({...client, line: 'explain request nobody-knows-this'}), {status: 404, body: {error: {message: 'request nobody-knows-this is not, or no longer, known to any entry'}}});

	const serving = String(row!.host);
	const other = serving === 'h1' ? 'h2' : 'h1';
	t.match((await runProgram(['query', ...flags, `explain replica ${serving}`])).text, /serving +true +yes[\s\S]*weights +true +the engine holds pitch-desk:v1/v);
	t.match((await runProgram(['query', ...flags, `explain replica ${other}`])).text, /serving +false +no, or not for long: look at assignment[\s\S]*assignment +false +no loaded fleet/v);
	await sendLine({...client, line: `drain host ${serving}`});
	await waitUntil('the drain is in force', async () => (await sendLine({...client, line: 'show revision'})).body.rows?.[0]?.missing === '');
	t.match((await runProgram(['query', ...flags, `explain replica ${serving}`])).text, `draining by an operator's order; "undrain host ${serving}" takes it back`);
	t.match((await runProgram(['query', ...flags, 'explain replica h99'])).text, 'no host h99 has announced itself');
});

// Three tokens with three roles. Each line is refused for every role below the one
// that it requires, and no token is ever written to the log.
t.test('token roles are enforced, and no token is logged', async t => {
	const logged: string[] = [];
	const {cluster, client, flags} = await startCluster(t, {
		engines: 1, entries: 1,
		adminTokens: [{role: 'read', token: 'reading-token'}, {role: 'operate', token: 'operating-token'}],
		logger: {
			event(id, fields) {
				logged.push(JSON.stringify([id, fields]));
			},
		},
	});
	const statusOf = async (token: string, line: string): Promise<number> => (await sendLine({...client, token, line})).status;
	const tokens = ['wrong-token', 'reading-token', 'operating-token', cluster.adminToken];
	const cases: Array<[string, number[]]> = [
		['show hosts', [401, 200, 200, 200]],
		['explain replica h1', [401, 200, 200, 200]],
		['drain host h1', [401, 403, 200, 200]],
		['set objective for service bp-writers whole 99% first token 95% within 900 ms', [401, 403, 403, 200]],
		['create model pitch-desk', [401, 403, 403, 200]],
	];
	for (const [line, statuses] of cases) {
		const seen: number[] = [];
		for (const token of tokens) {
			seen.push(await statusOf(token, line));
		}

		t.same(seen, statuses, line);
	}

	t.match(await runProgram(['run', '--address', client.address, '--token', 'reading-token', 'drain host h1']), {
		code: 1, text: 'unauthorized: this needs a token for "operate", this one is for "read"\n',
	});
	t.match(await runProgram(['query', ...flags, 'drain host h1']), {code: 2, text: /query asks and changes nothing/v});
	await postJson({
		address: client.address, token: 'operating-token', path: '/v1/chat/completions', body: {model: 'none', messages: []},
	});
	t.notMatch(logged.join('\n'), /wrong-token|reading-token|operating-token|dev-admin/v);
	t.ok(logged.length > 3, 'the log has lines to check');
});
