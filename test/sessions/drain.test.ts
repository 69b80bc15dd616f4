import t from 'tap';
import {postJson, waitUntil} from '@bitternpaddle/daemon';
import {
	firstLoad, isWhole, startSession, streamBody, teamKey,
} from '../support/session.js';

// Streams run on several hosts, each entry's in its own hall first, when one is drained, then stopped. No stream
// is cut off, the drained host gets nothing new, and the operator is told in
// one answer why it does not serve.
t.test('a host drain with streams running', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 3, entries: 2});
	const {cluster, type, note, callers} = session;
	await firstLoad(session, 'fair-mornings', 'new', 3);
	for (const engine of cluster.engines) {
		engine.faults.stallMs = 20;
	}

	const streams = Promise.all(Array.from({length: 18}, async (_, index) => postJson({
		address: cluster.entries[index % 2]!.address, token: teamKey, path: '/v1/chat/completions', body: streamBody(`stream ${index}`, 100),
	})));
	await waitUntil('streams on the host that will be drained and on another', async () => {
		const rows = await session.ask('show requests in flight where answering = true');
		const hosts = new Set(rows.map(({host}) => host));
		return hosts.has('h2') && hosts.size > 1;
	});
	await type('run', '--wait', 'drain host h2');
	const runsAfterDrain = cluster.engines[1]!.runs.length;
	t.ok((await session.ask('show requests in flight where host = h2')).length > 0, 'streams still run on the drained host');
	note('streams still run on h2');
	await type('query', 'explain replica h2');
	for (const engine of cluster.engines) {
		engine.faults.stallMs = 0;
	}

	const answers = await streams;
	t.equal(answers.filter(answer => isWhole(answer)).length, 18);
	note('all 18 streams ended whole');
	await callers(30);
	t.equal(cluster.engines[1]!.runs.length, runsAfterDrain, 'no new work came to the drained host');
	await type('run', '--wait', 'undrain host h2');
	await session.until('show replicas where ready = true', 3);
	await type('query', 'show replicas');
	await type('run', 'stop host h2');
	await session.until('show hosts where host = h2', 0);
	// The entry explains by its own copy, which may be a moment behind; a host that has left has one row.
	await session.until('explain replica h2', 1);
	await type('query', 'show replicas');
	await type('query', 'explain replica h2');
	await callers(12);
	t.matchSnapshot(session.transcript());
});
