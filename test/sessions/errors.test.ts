import t from 'tap';
import {waitUntil} from '@bitternpaddle/daemon';
import {runProgram} from '../support/run-program.js';
import {loadFirstVersion, startSession} from '../support/session.js';

// Records every kind of error that an operator can get: syntax errors, invalid
// flags, refusals by the catalog, missing roles, and control hosts without a quorum.
t.test('every kind of error', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 1, entries: 1, adminTokens: [{role: 'read', token: 'reading-token'}]});
	const {cluster, type, note} = session;
	await loadFirstVersion(session, 'fair-mornings', 'new', 1);
	const lines = [
		// Syntax errors: verb, keyword, name, version, digest, number, percentage, end of line.
		'drian host h1',
		'drain hots h1',
		'create model -x',
		'load v2 on fleet f',
		'create version pitch-desk:v2 from manifest md5:1',
		'create fleet f provider new for pitch-desk:v1 replicas many',
		'move half of pitch-desk from fleet a to fleet b',
		'drain host',
		'drain host h1 now',
		'create version pitch-desk:v2 from manifest sha256:1234',
		'move 120% of pitch-desk from fleet a to fleet b',
		`create model ${'m'.repeat(80)}`,
		// Conditions.
		'show replicas where colour = red',
		'show hosts where revision < soon',
		'show replicas where ready > true',
		'show models where',
		// Refusals: exists, unknown, conflict.
		'create model pitch-desk',
		'create version night-desk:v1 from manifest sha256:' + '0'.repeat(64),
		'create fleet f provider new for pitch-desk:v9 replicas 1',
		'load pitch-desk:v9 on fleet fair-mornings',
		'load pitch-desk:v1 on fleet afternoons',
		'withdraw version pitch-desk:v1',
		'drain host h99',
		'move 10% of night-desk from fleet a to fleet b',
		'move 10% of pitch-desk from fleet afternoons to fleet fair-mornings',
		'set objective for service none whole 99% first token 95% within 900 ms',
		'set objective for service bp-writers whole 100% first token 95% within 900 ms',
		'explain request nobody-knows',
		'explain replica h99',
		'x'.repeat(5000),
	];
	for (const line of lines) {
		await type('run', line);
	}

	await type('query', 'drain host h1');
	await type('run', '--if-revision', 'old', 'drain host h1');
	await type('run', '--if-revision', '1', 'drain host h1');
	await type('run', '--wait', '--timeout-seconds', 'long', 'drain host h1');
	await type('query', 'show hosts', '--output', 'xml');
	await type('report', 'burn', '--output', 'pdf');
	await type('script', 'no-such-file.txt');
	for (const words of [
		['replay', 'no-such-file.jsonl'],
		['query', 'show hosts', '--token', 'wrong-token', '--address', cluster.entries[0]!.address],
		['run', 'drain host h1', '--token', 'reading-token', '--address', cluster.entries[0]!.address],
		['query', 'show hosts', '--token', 'any-token', '--address', 'localhost'],
		['query', 'show hosts', '--token', 'any-token', '--address', '127.0.0.1:1'],
		['query', 'show hosts'],
	]) {
		const {code, text} = await runProgram(words);
		note(`${words.join(' ')}\n${text.trimEnd()}\nexit code ${code}`);
	}

	await Promise.all(cluster.controls.slice(0, 2).map(async control => control.close()));
	note('two of three control hosts are lost');
	await waitUntil('the remaining control host reports it', async () => (await runProgram(['query', 'show models', ...session.flags])).text.includes('no leader is in contact'));
	await type('query', 'show models');
	await type('run', 'create model night-desk');
	t.matchSnapshot(session.transcript().replaceAll(/127\.0\.0\.1:\d{4,}/gv, 'IP:PORT').replaceAll(/x{100,}/gv, 'xxx...'));
});
