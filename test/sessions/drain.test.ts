import t from 'tap';
import {postJson, waitUntil} from '@bitternpaddle/daemon';
import {
	loadFirstVersion, isCompleteStream, startSession, streamBody, teamKey,
} from '../support/session.js';

// Streams run on several hosts, for each entry preferably in its own availability
// zone, when one host is drained and then stopped. No stream is truncated, the
// drained host gets no new requests, and one query explains why it does not serve.
t.test('a host drain with streams running', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 3, entries: 2});
	const {cluster, type, note, callers} = session;
	await loadFirstVersion(session, 'fair-mornings', 'new', 3);
	for (const engine of cluster.engines) {
		engine.faults.stallMs = 20;
	}

	const streams = Promise.all(Array.from({length: 18}, async (_, index) => postJson({
		address: cluster.entries[index % 2]!.address, token: teamKey, path: '/v1/chat/completions', body: streamBody(`stream ${index}`, 100),
	})));
	await waitUntil('streams on the host that will be drained and on another', async () => {
		const rows = await session.queryRows('show requests in flight where answering = true');
		const hosts = new Set(rows.map(({host}) => host));
		return hosts.has('h2') && hosts.size > 1;
	});
	await type('run', '--wait', 'drain host h2');
	const runsAfterDrain = cluster.engines[1]!.runs.length;
	t.ok((await session.queryRows('show requests in flight where host = h2')).length > 0, 'streams are still running on the drained host');
	note('streams still run on h2');
	await type('query', 'explain replica h2');
	for (const engine of cluster.engines) {
		engine.faults.stallMs = 0;
	}

	const answers = await streams;
	t.equal(answers.filter(answer => isCompleteStream(answer)).length, 18);
	note('all 18 streams ended whole');
	await callers(30);
	t.equal(cluster.engines[1]!.runs.length, runsAfterDrain, 'the drained host got no new requests');
	await type('run', '--wait', 'undrain host h2');
	await session.waitForRows('show replicas where ready = true', 3);
	await type('query', 'show replicas');
	await type('run', 'stop host h2');
	await session.waitForRows('show hosts where host = h2', 0);
	// The entry explains from its own copy of the configuration, which may lag; a host that has left has one row.
	await session.waitForRows('explain replica h2', 1);
	await type('query', 'show replicas');
	await type('query', 'explain replica h2');
	await callers(12);
	t.matchSnapshot(session.transcript());
});
