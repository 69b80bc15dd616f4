import {
	createDevCluster, postJson, sendLine, waitUntil,
} from '@bitternpaddle/daemon';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import t from 'tap';

type Spread = {readonly hosts: number; readonly inForce: number; readonly missing: string[]; readonly outOfService: string[]};

// An operator submits a change with a wait, right after one agent was killed. The
// response comes when the change is in force on all hosts that serve; the killed
// host is missing as long as it may hold a lease, then out of service, and the
// change is never in force on it.
t.test('an accepted change reports on how many hosts it is in force', {timeout: 60_000}, async t => {
	const cluster = await createDevCluster({engines: 2, entries: 1});
	t.teardown(async () => cluster.close());
	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	/** Resends a command without a response under its command id, as an operator does. */
	const order = async (line: string, waitMs: number): Promise<{revision: number; inForce: Spread}> => {
		let accepted: {revision: number; inForce: Spread} | null = null;
		await waitUntil(`${line} is accepted`, async () => {
			const {status, text} = await postJson({...client, path: '/admin/v1/commands', body: {line, waitMs, commandId: line}});
			if (status !== 200) {
				return false;
			}

			accepted = JSON.parse(text) as {revision: number; inForce: Spread};
			return true;
		});
		return accepted!;
	};

	await waitUntil('all hosts have joined', async () => {
		const {body} = await sendLine({...client, line: 'show revision'});
		return body.rows?.[0]?.inForce === 4 && body.rows[0].hosts === 4;
	});
	const beforeKill = await order('create model one', 10_000);
	t.match(beforeKill.inForce, {
		hosts: 4, inForce: 4, missing: [], outOfService: [],
	});

	await cluster.agents[0]!.kill();
	const afterKill = await order('create model two', 1500);
	t.match(afterKill.inForce, {hosts: 4, inForce: 3, missing: ['h1']});
	await waitUntil('the killed host is out of service', async () => {
		const answer = await sendHttp({
			address: client.address, path: `/admin/v1/in-force/${afterKill.revision}`, headers: {authorization: `Bearer ${client.token}`}, idleTimeoutMs: 5000,
		});
		const text = (await readBody(answer)).toString();
		if (answer.statusCode !== 200) {
			return false;
		}

		const spread = JSON.parse(text) as Spread;
		t.ok(spread.inForce <= 3);
		return spread.hosts === 3 && spread.inForce === 3 && spread.outOfService.includes('h1');
	});
});
