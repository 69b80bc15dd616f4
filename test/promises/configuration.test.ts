import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createFailureCluster, loadFirstVersion, operate, openModes, queryRows, waitUntil, type FailureCluster,
} from '@bitternpaddle/daemon';
import {checkHistory, eventsOf} from '@bitternpaddle/test-support';
import t, {type Test} from 'tap';

const startCluster = async (t: Test): Promise<FailureCluster> => {
	const cluster = await createFailureCluster({engines: 2});
	t.teardown(async () => cluster.close());
	await loadFirstVersion(cluster);
	const sampling = setInterval(() => {
		cluster.sampleHosts();
	}, 20);
	t.teardown(() => {
		clearInterval(sampling);
	});
	return cluster;
};

const inForceBoundMs = 4000;

// The leader of control is cut from the other control hosts for a long time,
// but not from entries and agents, and goes on believing that it leads. The
// operator's changes are accepted by the others. Hosts that still hear the old
// leader get no lease from it, so they find another control host or stop
// serving; when the cut ends, no host goes back.
t.test('a leader that is cut off for long and believes it leads', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t);
	const {history, links, controls} = cluster;
	const leader = controls.find(control => control.node()?.isLeader())!;
	const between = links.touching([leader.nodeId]).filter(({from, to}) => [from, to].every(id => controls.some(control => control.nodeId === id)));
	for (const {relay} of between) {
		relay.setModes({forward: 'dropped', backward: 'dropped'});
	}

	for (const name of ['a', 'b', 'c']) {
		const commandId = randomUUID();
		await waitUntil(`model ${name}`, async () => (await operate(cluster, `create model model-${name}`, {commandId})).type === 'accepted');
	}

	await delay(inForceBoundMs + 1000);
	for (const {relay} of between) {
		relay.setModes(openModes);
	}

	await waitUntil('in force everywhere', async () => {
		const [row] = await queryRows(cluster, 'show revision');
		return row?.missing === '';
	});
	cluster.sampleHosts();
	t.ok(eventsOf(history.events, 'hostSampled').some(sample => sample.isInService), 'hosts were seen in service');
	t.same(checkHistory(history.events, {inForceBoundMs}), []);
});

// An agent is killed and comes back without a configuration while it can reach
// control, and an entry does so while it cannot. Each serves nothing until it
// has heard a quorum; then it serves by the latest revision and never by an
// older one.
t.test('hosts that come back with nothing', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t);
	const {history, links, agents, entries} = cluster;
	await Promise.all([agents[0]!.kill(), entries[1]!.kill()]);
	t.match(await operate(cluster, 'create model after-the-kill', {entry: 0}), {type: 'accepted'});
	const cut = links.touching(['e2']);
	for (const {relay} of cut) {
		relay.setModes({forward: 'dropped', backward: 'dropped'});
	}

	await Promise.all([agents[0]!.start(), entries[1]!.start({links: 'asTheyAre'})]);
	await delay(500);
	t.notOk(entries[1]!.node()!.inForce().hasLease, 'the entry that hears nobody does not serve');
	for (const {relay} of cut) {
		relay.setModes(openModes);
	}

	await waitUntil('both serve again', () => [agents[0]!, entries[1]!].every(handle => handle.node()!.inForce().hasLease));
	t.same(checkHistory(history.events, {inForceBoundMs}), []);
});

// Two operators send commands under the same expected revision through both
// entries at once, and the leader dies under their hands; both resend under
// their own command ids until they have an answer. One wins and the other is
// told so, and each gets the same result however often it asks.
t.test('operators that race under equal numbers while the leader dies', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t);
	const {history, controls} = cluster;
	const [row] = await queryRows(cluster, 'show revision');
	const ifRevision = Number(row!.revision);
	const insist = async (racer: number): Promise<string> => {
		let type = 'unknown';
		await waitUntil(`an answer for operator ${racer}`, async () => {
			({type} = await operate(cluster, `create model race-${racer}`, {entry: racer, ifRevision, commandId: `racer-${racer}`}));
			return type !== 'unknown';
		});
		return type;
	};

	const racing = Promise.all([0, 1].map(async racer => insist(racer)));
	await controls.find(control => control.node()?.isLeader())!.kill();
	const results = await racing;
	const again = await Promise.all([0, 1].map(async racer => insist(racer)));
	t.same(again, results, 'a resend gets the first result');
	t.ok(results.filter(result => result === 'accepted').length <= 1, 'at most one wins');
	t.same(checkHistory(history.events, {inForceBoundMs}), []);
});
