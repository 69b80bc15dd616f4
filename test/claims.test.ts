import {Buffer} from 'node:buffer';
import {waitUntil} from '@bitternpaddle/daemon';
import {sha256} from '@bitternpaddle/state';
import {callRpc} from '@bitternpaddle/transport';
import t from 'tap';
import {createRequestCluster, type RequestCluster} from './support/request-cluster.js';

const bookingBody = {pitch: 12};

/** Writes a claim as an entry does that is killed right after it. */
const writeAbandonedClaim = async (cluster: RequestCluster, key: string): Promise<void> => {
	const {agent, relay} = cluster.ledgers[0]!;
	await callRpc({
		address: cluster.controls[0]!.address, method: 'control.propose', timeoutMs: 5000, params: {
			command: {
				commandId: null, ifRevision: null, change: {
					type: 'claim', teamId: 'marshals', serviceId: 'ledger', key, requestId: 'dead-entry', atMs: Date.now(),
					bodyDigest: sha256(`POST /bookings\n${Buffer.from(JSON.stringify(bookingBody)).toString('base64')}`),
					place: {
						hostId: agent.hostId, address: relay.address, incarnation: agent.incarnation, attemptId: 'dead-entry.1',
						issue: {sender: 'dead', sequence: 0},
					},
				},
			},
		},
	});
};

const errorTypeOf = (text: string): string => (JSON.parse(text) as {error: {type: string}}).error.type;

t.test('bookings through failing entries and agents', async t => {
	const cluster = await createRequestCluster(t, {ledgers: 1, entries: 3});
	const {endpoint, relay} = cluster.ledgers[0]!;
	const runs = (key: string): number => endpoint.runsPerKey.get(key) ?? 0;

	// The first entry claims the key and is killed before it dispatches. The caller
	// retries through another entry. It must get neither "in progress" forever nor
	// "may have run": the request gate reports that nothing arrived, so it runs, once.
	await t.test('an entry is killed between claim and dispatch', async t => {
		await writeAbandonedClaim(cluster, 'early');
		const answer = await cluster.book('early');
		t.equal(answer.status, 200);
		t.equal(runs('early'), 1);
	});

	// The ledger is slow; the first entry is killed while it waits. A caller retry through
	// another entry gets "in progress", and after the ledger has answered it gets
	// exactly that answer. The booking ran once.
	await t.test('an entry is killed between dispatch and outcome', async t => {
		endpoint.faults.stallMs = 800;
		const lost = cluster.book('middle', {entry: 0}).catch(() => null);
		await waitUntil('the booking runs', () => runs('middle') === 1);
		await cluster.entries[0]!.kill();
		t.equal(await lost, null, 'the first caller lost its response');
		const early = await cluster.book('middle', {entry: 1});
		t.equal(early.status, 409);
		t.equal(early.headers['retry-after'], '1');
		await waitUntil('the outcome is known', async () => (await cluster.book('middle', {entry: 2})).status === 200);
		const late = await cluster.book('middle', {entry: 1});
		t.equal(late.status, 200);
		t.equal(late.headers['x-bitternpaddle-replayed'], 'true');
		t.match(JSON.parse(late.text), {key: 'middle', runs: 1});
		t.equal(runs('middle'), 1);
		endpoint.faults.stallMs = 0;
	});

	// The outcome is recorded and the answer is lost on its way to the caller. The
	// caller retry gets the same answer, byte for byte; a different body with the same key
	// is refused.
	await t.test('an entry is killed after the outcome', async t => {
		const first = await cluster.book('late', {entry: 1});
		const second = await cluster.book('late', {entry: 2});
		t.equal(second.text, first.text);
		const other = await cluster.book('late', {entry: 2, body: {pitch: 13}});
		t.equal(other.status, 422);
		t.equal(runs('late'), 1);
	});

	// The connection permanently stops delivering data before the booking arrives. The
	// request gate, contacted on a new connection, bars it; it is sent again, and the
	// lost bytes have no effect.
	await t.test('the connection stalls before the booking arrives', async t => {
		await cluster.book('warm-up', {entry: 1});
		relay.silenceOpenConnections();
		const answer = await cluster.book('silent', {entry: 1});
		t.equal(answer.status, 200);
		t.equal(runs('silent'), 1);
	});

	// The booking runs, its answer is delayed, and the connection stalls. The caller
	// still gets the answer of the only run.
	await t.test('the connection stalls while the booking runs', async t => {
		endpoint.faults.stallMs = 500;
		const booked = cluster.book('held', {entry: 1});
		await waitUntil('the booking runs', () => runs('held') === 1);
		relay.silenceOpenConnections();
		t.equal((await booked).status, 200);
		t.equal(runs('held'), 1);
		endpoint.faults.stallMs = 0;
	});

	// The caller's deadline passes while the booking runs. The caller immediately gets
	// "may have run". The run continues, and the caller retry gets its outcome.
	await t.test('the deadline passes while the booking runs', async t => {
		endpoint.faults.stallMs = 500;
		await cluster.book('deadline', {entry: 1, headers: {'x-bitternpaddle-deadline-ms': '200'}}).then(answer => {
			t.equal(errorTypeOf(answer.text), 'may_have_run');
		});
		await waitUntil('the outcome is known', async () => (await cluster.book('deadline', {entry: 2})).status === 200);
		t.equal(runs('deadline'), 1);
		endpoint.faults.stallMs = 0;
	});

	// The ledger runs the booking and never answers, and the agent is restarted: the
	// outcome can no longer be determined. Every caller immediately gets "may have
	// run", and the booking never runs again.
	await t.test('the agent is restarted while the booking runs', async t => {
		endpoint.faults.isSilent = true;
		const booked = cluster.book('lost', {entry: 1});
		await waitUntil('the booking runs', () => runs('lost') === 1);
		await cluster.ledgers[0]!.restart();
		t.equal(errorTypeOf((await booked).text), 'may_have_run');
		endpoint.faults.isSilent = false;
		await waitUntil('the agent is back', async () => (await cluster.book('other', {entry: 1})).status === 200);
		for (const entry of [1, 2]) {
			const retried = await cluster.book('lost', {entry});
			t.equal(errorTypeOf(retried.text), 'may_have_run');
		}

		t.equal(runs('lost'), 1);
	});
});

// The leader of the control hosts is lost while a booking runs. Its claim is in
// the log of the others: a caller retry through another entry finds it under the new
// leader, and gets the outcome of the only run.
t.test('control fails over while a booking runs', async t => {
	const cluster = await createRequestCluster(t, {ledgers: 1, entries: 2, controls: 3});
	const {endpoint} = cluster.ledgers[0]!;
	endpoint.faults.stallMs = 300;
	const booked = cluster.book('pitch-12', {entry: 0});
	await waitUntil('the booking runs', () => endpoint.runsPerKey.get('pitch-12') === 1);
	await cluster.controls.find(control => control.isLeader())!.close();
	const first = await booked;
	t.equal(first.status, 200);
	await waitUntil('the outcome is known', async () => (await cluster.book('pitch-12', {entry: 1})).status === 200);
	t.equal((await cluster.book('pitch-12', {entry: 1})).text, first.text);
	t.equal(endpoint.runsPerKey.get('pitch-12'), 1);
});
