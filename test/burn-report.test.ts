import {readFile} from 'node:fs/promises';
import path from 'node:path';
import t from 'tap';
import type {BurnReport} from '@bitternpaddle/coordination';
import {
	createDevCluster, postJson, sendLine, waitUntil,
} from '@bitternpaddle/daemon';
import {testFolder} from '@bitternpaddle/test-support';
import {runProgram} from './support/run-program.js';

// Callers send requests through two entries; two bookings go to a ledger that
// closes the connection without a response. A report from one entry must include
// the counts of both: without the merge an operator would see a part of the burn
// that depends on the entry that the load balancer chose.
t.test('one report includes the counts of both entries', async t => {
	const cluster = await createDevCluster({engines: 2, entries: 2});
	t.teardown(async () => cluster.close());
	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	const lines = [
		'create team marshals key marshals-key',
		'create model pitch-desk',
		`create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}`,
		'create fleet fair provider new for pitch-desk:v1 replicas 2',
		'load pitch-desk:v1 on fleet fair',
		'set objective for service bp-writers whole 99% first token 95% within 5000 ms',
	];
	await waitUntil('all hosts joined', async () => (await sendLine({...client, line: 'show hosts'})).body.rows?.length === 5);
	for (const line of lines) {
		t.equal((await sendLine({...client, line})).body.type, 'accepted', line);
	}

	t.equal((await sendLine({...client, line: 'set objective for service baker whole 99% first token 95% within 9 ms'})).body.message, 'no service baker');
	await waitUntil('two replicas ready', async () => (await sendLine({...client, line: 'show replicas where ready = true'})).body.rows?.length === 2);
	await waitUntil('the revision is in force on all hosts', async () => (await sendLine({...client, line: 'show revision'})).body.rows?.[0]?.missing === '');
	for (let index = 0; index < 10; index++) {
		const answer = await postJson({
			address: cluster.entries[index % 2]!.address, token: 'marshals-key', path: '/v1/chat/completions', body: {model: 'pitch-desk', stream: true, messages: [{role: 'user', content: 'hello'}]},
		});
		t.equal(answer.status, 200);
	}

	await postJson({
		address: client.address, token: 'marshals-key', path: '/v1/chat/completions', body: {model: 'none', messages: []},
	});
	cluster.ledger.faults.isCutAfterRun = true;
	for (const entry of cluster.entries) {
		const answer = await postJson({
			address: entry.address, token: 'marshals-key', path: '/services/ledger/book', body: {}, headers: {'idempotency-key': entry.entryId},
		});
		t.equal(answer.status, 502);
	}

	const flags = ['--address', client.address, '--token', client.token];
	const json = await runProgram(['report', 'burn', ...flags, '--output', 'json']);
	t.equal(json.code, 0);
	const report = JSON.parse(json.text) as BurnReport;
	t.same(report.heardEntries, ['entry-1', 'entry-2']);
	t.match(report.rows.map(({serviceId, teamId, objective, answeredWhole, firstToken}) => ({
		serviceId, teamId, objective: objective.answeredWholePercent, whole: answeredWhole.rates[3], timed: firstToken.rates[3],
	})), [
		{
			serviceId: 'bp-writers', teamId: null, objective: 99, whole: {bad: 0, total: 10}, timed: {bad: 0, total: 10},
		},
		{
			serviceId: 'bp-writers', teamId: 'marshals', objective: 99, whole: {bad: 0, total: 10}, timed: {bad: 0, total: 10},
		},
		{
			serviceId: 'ledger', teamId: null, objective: 99.9, whole: {bad: 2, total: 2}, timed: {total: 0},
		},
		{
			serviceId: 'ledger', teamId: 'marshals', objective: 99.9, whole: {bad: 2, total: 2}, timed: {total: 0},
		},
	], 'and a request for a model that does not exist is not counted');

	const file = path.join(testFolder(t), 'burn.html');
	t.equal((await runProgram(['report', 'burn', ...flags, '--output', 'html', '--out', file])).code, 0);
	t.match(await readFile(file, 'utf8'), /<td>2 of 2<\/td>/v);
	t.match((await runProgram(['report', 'burn', ...flags])).text, /ledger +\(all\) +99.9% whole +1000/v);
	t.match(await runProgram(['report', 'burn', '--address', client.address, '--token', 'wrong-token']), {code: 1, text: 'unauthorized: an administration token is needed\n'});
	t.match(await runProgram(['report', 'burn', ...flags, '--output', 'pdf']), {code: 2, text: '--output is "pdf": expected text or json or html\n'});

	const rpc = await postJson({
		address: client.address, token: 'marshals-key', path: '/rpc', body: {
			jsonrpc: '2.0', id: 1, method: 'entry.burn', params: {token: 'marshals-key', nowMs: Date.now()},
		},
	});
	t.match(JSON.parse(rpc.text), {error: {code: 1004}}, 'a caller gets no information on the requests of others');
});
