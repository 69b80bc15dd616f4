import t from 'tap';
import {postJson, waitUntil} from '@bitternpaddle/daemon';
import {
	loadFirstVersion, isCompleteStream, startSession, streamBody, teamKey,
} from '../support/session.js';

// Each zone has one engine, and streams run on all of them, when the zone of h2 is
// evacuated. An evacuation that cut streams off, or an entry that went on sending to its
// own zone, would be seen here; entry 2 is in the evacuated zone.
t.test('a zone evacuation with streams running', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 3, entries: 2});
	const {cluster, type, note, callers} = session;
	await loadFirstVersion(session, 'fair-mornings', 'new', 3);
	for (const engine of cluster.engines) {
		engine.faults.stallMs = 20;
	}

	const streams = Promise.all(Array.from({length: 18}, async (_, index) => postJson({
		address: cluster.entries[index % 2]!.address, token: teamKey, path: '/v1/chat/completions', body: streamBody(`stream ${index}`, 100),
	})));
	await waitUntil('streams on the host of the zone and on another', async () => {
		const rows = await session.queryRows('show requests in flight where answering = true');
		const hosts = new Set(rows.map(({host}) => host));
		return hosts.has('h2') && hosts.size > 1;
	});
	await type('run', 'evacuate zone salem');
	await type('run', '--wait', 'evacuate zone salem-hall');
	const runsAfterOrder = cluster.engines[1]!.runs.length;
	t.ok((await session.queryRows('show requests in flight where host = h2')).length > 0, 'streams are still running in the zone');
	note('streams still run on h2');
	await type('query', 'show zones');
	await type('query', 'explain replica h2');
	for (const engine of cluster.engines) {
		engine.faults.stallMs = 0;
	}

	t.equal((await streams).filter(answer => isCompleteStream(answer)).length, 18);
	note('all 18 streams ended whole');
	await callers(30);
	t.equal(cluster.engines[1]!.runs.length, runsAfterOrder, 'the evacuated zone got no new requests');
	await type('run', '--wait', 'restore zone salem-hall');
	await session.waitForRows('show replicas where ready = true', 3);
	await session.waitForRows('show zones where evacuated = true', 0);
	await type('query', 'show zones');
	await waitUntil('the restored zone gets requests again', async () => {
		await postJson({
			address: cluster.entries[1]!.address, token: teamKey, path: '/v1/chat/completions', body: streamBody('question'),
		});
		return cluster.engines[1]!.runs.length > runsAfterOrder;
	});
	note('the restored zone gets requests again');
	t.matchSnapshot(session.transcript());
});
