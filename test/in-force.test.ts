import {
	createDevCluster, postJson, sendLine, waitUntil,
} from '@bitternpaddle/daemon';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import t from 'tap';

type Spread = {readonly hosts: number; readonly inForce: number; readonly missing: string[]; readonly outOfService: string[]};

// An operator orders with a wait, while one agent is killed a moment before. The
// answer comes with the change in force on all that serve; the dead host is
// missing as long as it may hold a lease, then out of service, never in force.
t.test('accepted, and in force on how many of how many', {timeout: 60_000}, async t => {
	const cluster = await createDevCluster({engines: 2, entries: 1});
	t.teardown(async () => cluster.close());
	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	/** As an operator does: an order without an answer goes out again under its command id. */
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

	await waitUntil('all hosts are there', async () => {
		const {body} = await sendLine({...client, line: 'show revision'});
		return body.rows?.[0]?.inForce === 4 && body.rows[0].hosts === 4;
	});
	const all = await order('create model one', 10_000);
	t.match(all.inForce, {
		hosts: 4, inForce: 4, missing: [], outOfService: [],
	});

	await cluster.agents[0]!.kill();
	const soon = await order('create model two', 1500);
	t.match(soon.inForce, {hosts: 4, inForce: 3, missing: ['h1']});
	await waitUntil('the dead host is out of service', async () => {
		const answer = await sendHttp({
			address: client.address, path: `/admin/v1/in-force/${soon.revision}`, headers: {authorization: `Bearer ${client.token}`}, idleTimeoutMs: 5000,
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
