import {createDevCluster, sendLine, waitUntil} from '@bitternpaddle/daemon';
import {formatRows} from '@bitternpaddle/cli';
import t from 'tap';

// A complete operator session: create, load, query, roll out a second version,
// drain, and the errors of invalid commands.
t.test('a session from the first model to a drain', async t => {
	const cluster = await createDevCluster({engines: 3, entries: 1});
	t.teardown(async () => cluster.close());
	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	const transcript: string[] = [];
	const run = async (line: string): Promise<void> => {
		const {status, body} = await sendLine({...client, line});
		const answer = body.rows === undefined ? `${status} ${body.type ?? body.error!.type}: ${body.message ?? body.error?.message ?? ''}\n` : formatRows(body.rows);
		transcript.push(`> ${line}\n${answer}`);
	};

	const ready = async (versionId: string, count: number): Promise<void> => waitUntil(`${count} replicas of ${versionId}`, async () => {
		const {body} = await sendLine({...client, line: `show replicas where ready = true and version = ${versionId}`});
		return body.rows?.length === count;
	});

	await waitUntil('all agents joined', async () => {
		const {body} = await sendLine({...client, line: 'show hosts where role = agent'});
		return body.rows?.length === cluster.agents.length;
	});
	await run('create model pitch-desk');
	await run('create model pitch-desk');
	await run(`create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}`);
	await run(`create version pitch-desk:v2 from manifest ${cluster.manifestIds[1]}`);
	await run('create fleet fair-mornings provider new for pitch-desk:v1 replicas 3');
	await run('load pitch-desk:v1 on fleet afternoons');
	await run('load pitch-desk:v1 on fleet fair-mornings');
	await ready('pitch-desk:v1', 3);
	await run('show replicas');
	await run('load pitch-desk:v2 on fleet fair-mornings');
	await ready('pitch-desk:v2', 3);
	await run('show replicas');
	await run('show fleets');
	await run('drain host h2');
	await run('show replicas');
	await run('show models');
	await run('show services');
	await run('show replicas where colour = red');
	await run('drian host h2');
	t.matchSnapshot(transcript.join('\n'));
});
