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

// The leader is partitioned from the other control hosts for a long time, but not
// from entries and agents, and continues to act as leader. The other control hosts
// accept the operator's changes. Hosts that are still connected to the old leader
// get no lease from it, so they find another control host or stop serving; when
// the partition ends, no host returns to an older revision.
t.test('a leader that is partitioned for long and still acts as leader', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t);
	const {history, links, controls} = cluster;
	await waitUntil('a control host leads', () => controls.some(control => control.node()?.isLeader()));
	const leader = controls.find(control => control.node()?.isLeader())!;
	const controlLinks = links.adjacentTo([leader.nodeId]).filter(({from, to}) => [from, to].every(id => controls.some(control => control.nodeId === id)));
	for (const {relay} of controlLinks) {
		relay.setModes({forward: 'dropped', backward: 'dropped'});
	}

	for (const name of ['a', 'b', 'c']) {
		const commandId = randomUUID();
		await waitUntil(`model ${name}`, async () => (await operate(cluster, `create model model-${name}`, {commandId})).type === 'accepted');
	}

	await delay(inForceBoundMs + 1000);
	for (const {relay} of controlLinks) {
		relay.setModes(openModes);
	}

	await waitUntil('in force on all hosts', async () => {
		const [row] = await queryRows(cluster, 'show revision');
		return row?.missing === '';
	});
	cluster.sampleHosts();
	t.ok(eventsOf(history.events, 'hostSampled').some(sample => sample.isInService), 'some samples are of hosts in service');
	t.same(checkHistory(history.events, {inForceBoundMs}), []);
});

// An agent is killed and restarts without a configuration while it can reach the
// control hosts, and an entry does the same while it cannot. Neither serves until
// a quorum has confirmed its configuration; then it serves by the latest revision
// and never by an older one.
t.test('hosts that restart without a configuration', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t);
	const {history, links, agents, entries} = cluster;
	await Promise.all([agents[0]!.kill(), entries[1]!.kill()]);
	t.match(await operate(cluster, 'create model after-the-kill', {entry: 0}), {type: 'accepted'});
	const partitionedLinks = links.adjacentTo(['e2']);
	for (const {relay} of partitionedLinks) {
		relay.setModes({forward: 'dropped', backward: 'dropped'});
	}

	await Promise.all([agents[0]!.start(), entries[1]!.start({links: 'asTheyAre'})]);
	await delay(500);
	t.notOk(entries[1]!.node()!.inForce().hasLease, 'the entry that reaches no control host does not serve');
	for (const {relay} of partitionedLinks) {
		relay.setModes(openModes);
	}

	await waitUntil('both serve again', () => [agents[0]!, entries[1]!].every(handle => handle.node()!.inForce().hasLease));
	t.same(checkHistory(history.events, {inForceBoundMs}), []);
});

// Two operators send commands with the same expected revision through both entries
// at once while the leader is killed; both resend with their own command ids until
// they get a response. One command is accepted and the other refused, and each
// operator gets the same result however often it resends.
t.test('operators that race with equal revisions while the leader is killed', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t);
	const {history, controls} = cluster;
	const [row] = await queryRows(cluster, 'show revision');
	const ifRevision = Number(row!.revision);
	const resendUntilAnswered = async (operatorIndex: number): Promise<string> => {
		let type = 'unknown';
		await waitUntil(`a response for operator ${operatorIndex}`, async () => {
			({type} = await operate(cluster, `create model race-${operatorIndex}`, {entry: operatorIndex, ifRevision, commandId: `racer-${operatorIndex}`}));
			return type !== 'unknown';
		});
		return type;
	};

	const firstResults = Promise.all([0, 1].map(async operatorIndex => resendUntilAnswered(operatorIndex)));
	await controls.find(control => control.node()?.isLeader())!.kill();
	const results = await firstResults;
	const again = await Promise.all([0, 1].map(async operatorIndex => resendUntilAnswered(operatorIndex)));
	t.same(again, results, 'a resend gets the first result');
	t.ok(results.filter(result => result === 'accepted').length <= 1, 'at most one wins');
	t.same(checkHistory(history.events, {inForceBoundMs}), []);
});
