import {setTimeout as delay} from 'node:timers/promises';
import {
	createFailureCluster, failureTeamKey, loadFirstVersion, openModes, type FailureCluster,
} from '@bitternpaddle/daemon';
import {
	checkHistory, eventsOf, recordCall, type CallOutcome,
} from '@bitternpaddle/test-support';
import t from 'tap';

const book = async (cluster: FailureCluster, callId: string, entry: number, key: string): Promise<CallOutcome> => recordCall({
	history: cluster.history, callId, entryId: `e${entry + 1}`, address: cluster.entries[entry]!.node()!.address, token: failureTeamKey,
	target: {type: 'service', serviceId: 'ledger', key},
});

const startCluster = async (): Promise<FailureCluster> => {
	const cluster = await createFailureCluster({engines: 1});
	await loadFirstVersion(cluster);
	return cluster;
};

// The open connection to the ledger's host stalls, so a booking sent on it does
// not arrive. The entry resolves the attempt on a new connection, gets "not run",
// and reports it to the caller. Then the stalled connection delivers the booking
// after all. It must not run: resolving the attempt has barred it at the request gate.
t.test('a request that arrives after its attempt was resolved does not run', {timeout: 60_000}, async t => {
	const cluster = await startCluster();
	t.teardown(async () => cluster.close());
	const {history, links, agents} = cluster;
	t.match(await book(cluster, 'warm-up', 0, 'warm-up'), {type: 'answered'}, 'a connection is open');
	const toLedger = links.adjacentTo([agents.at(-1)!.nodeId]).filter(link => link.to === agents.at(-1)!.nodeId);
	for (const {relay} of toLedger) {
		relay.holdOpenConnections();
	}

	t.match(await book(cluster, 'late', 0, 'late'), {type: 'notRun'}, 'the caller gets "not run"');
	for (const {relay} of toLedger) {
		relay.setModes(openModes);
	}

	await delay(500);
	t.notOk(eventsOf(history.events, 'runStarted').some(run => run.key === 'late'), 'the late booking has not run');
	t.same(checkHistory(history.events), []);
});

// The ledger's host loses power while a booking runs there and restarts at the
// same address without its state. The entry's connection closes and it tries to
// resolve the attempt with the new process. If that one reported "not run", the
// caller would book again and pay twice; it reports that the outcome is unknown, and
// every caller retry, through either entry, gets "may have run".
t.test('a restarted agent does not report on requests of its predecessor', {timeout: 60_000}, async t => {
	const cluster = await startCluster();
	t.teardown(async () => cluster.close());
	const {history, agents, ledger} = cluster;
	ledger.faults.isSilent = true;
	const first = book(cluster, 'first', 0, 'stall-7');
	while (!eventsOf(history.events, 'runStarted').some(run => run.key === 'stall-7')) {
		await delay(10);
	}

	await agents.at(-1)!.lose();
	ledger.faults.isSilent = false;
	await agents.at(-1)!.start();
	t.match(await first, {type: 'mayHaveRun'}, 'the caller does not get "not run"');
	for (const retry of [0, 1, 2]) {
		t.match(await book(cluster, `resend-${retry}`, retry % 2, 'stall-7'), {type: 'mayHaveRun'});
	}

	t.equal(ledger.runsPerKey.get('stall-7'), 1);
	t.same(checkHistory(history.events), []);
});

// The entry is killed after the ledger has booked and before the outcome is
// recorded. The caller retries through the other entry until it gets a final
// outcome: the booking's answer, read back from the request gate, or "may have
// run"; the booking never runs again.
t.test('an entry that is killed between a booking and the record of its outcome', {timeout: 60_000}, async t => {
	const cluster = await startCluster();
	t.teardown(async () => cluster.close());
	const {history, entries, ledger} = cluster;
	ledger.faults.isSilent = true;
	const first = book(cluster, 'first', 0, 'gate-3');
	while (!eventsOf(history.events, 'runStarted').some(run => run.key === 'gate-3')) {
		await delay(10);
	}

	await entries[0]!.kill();
	t.match(await first, {type: 'cut'});
	let outcome: CallOutcome = {type: 'refused', status: 409};
	for (let retry = 0; retry < 200 && outcome.type === 'refused'; retry++) {
		await delay(100);
		outcome = await book(cluster, `resend-${retry}`, 1, 'gate-3');
	}

	t.match(outcome, {type: 'mayHaveRun'}, 'the claim of the killed entry is not held forever');
	t.equal(ledger.runsPerKey.get('gate-3'), 1);
	t.same(checkHistory(history.events), []);
});
