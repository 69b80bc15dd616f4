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
// not arrive. The entry settles on a new connection, hears "not run", and tells
// the caller. Then the stalled connection delivers the booking after all. It
// must not run: settling has barred it at the door.
t.test('a request that arrives after it was settled does not run', {timeout: 60_000}, async t => {
	const cluster = await startCluster();
	t.teardown(async () => cluster.close());
	const {history, links, agents} = cluster;
	t.match(await book(cluster, 'warm-up', 0, 'warm-up'), {type: 'answered'}, 'a connection is open');
	const toLedger = links.touching([agents.at(-1)!.nodeId]).filter(link => link.to === agents.at(-1)!.nodeId);
	for (const {relay} of toLedger) {
		relay.holdOpenConnections();
	}

	t.match(await book(cluster, 'late', 0, 'late'), {type: 'notRun'}, 'the caller is told "not run"');
	for (const {relay} of toLedger) {
		relay.setModes(openModes);
	}

	await delay(500);
	t.notOk(eventsOf(history.events, 'runStarted').some(run => run.key === 'late'), 'the late booking has not run');
	t.same(checkHistory(history.events), []);
});

// The ledger's host loses power while a booking runs there and comes back at
// the same address, remembering nothing. The entry's connection ends and it
// settles with the new process. If that one said "not run", the caller would
// book again and pay twice; it says that it does not know, and every resend,
// through either entry, is told that the booking may have run.
t.test('a host that comes back does not answer for the one before', {timeout: 60_000}, async t => {
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
	t.match(await first, {type: 'mayHaveRun'}, 'the caller is not told "not run"');
	for (const resend of [0, 1, 2]) {
		t.match(await book(cluster, `resend-${resend}`, resend % 2, 'stall-7'), {type: 'mayHaveRun'});
	}

	t.equal(ledger.runsPerKey.get('stall-7'), 1);
	t.same(checkHistory(history.events), []);
});

// The entry dies after the ledger has booked and before the outcome is
// recorded. The caller resends through the other entry until it gets an end:
// the booking's own answer, read back from the door, or "may have run"; at no
// time does the booking run again.
t.test('an entry that dies between a booking and its record', {timeout: 60_000}, async t => {
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
	for (let resend = 0; resend < 200 && outcome.type === 'refused'; resend++) {
		await delay(100);
		outcome = await book(cluster, `resend-${resend}`, 1, 'gate-3');
	}

	t.match(outcome, {type: 'mayHaveRun'}, 'the claim of the dead entry is not held for ever');
	t.equal(ledger.runsPerKey.get('gate-3'), 1);
	t.same(checkHistory(history.events), []);
});
