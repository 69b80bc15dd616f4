import {setTimeout as delay} from 'node:timers/promises';
import {
	createFailureCluster, failureTeamKey, loadFirstVersion, mustOperate, operate, waitUntil, type FailureCluster,
} from '@bitternpaddle/daemon';
import {
	checkHistory, eventsOf, recordCall, type CallOutcome,
} from '@bitternpaddle/test-support';
import t, {type Test} from 'tap';

const startCluster = async (t: Test, tokenMs: number): Promise<FailureCluster> => {
	const cluster = await createFailureCluster({engines: 3, tokenMs, deadlineMs: 15_000});
	t.teardown(async () => cluster.close());
	await loadFirstVersion(cluster);
	return cluster;
};

const stream = async (cluster: FailureCluster, callId: string, entry: number, maxTokens: number): Promise<CallOutcome> => recordCall({
	history: cluster.history, callId, entryId: `e${entry + 1}`, address: cluster.entries[entry]!.node()!.address, token: failureTeamKey, callTimeoutMs: 20_000,
	target: {
		type: 'model', modelId: 'pitch-desk', isStream: true, maxTokens,
	},
});

const isPartitionedNode = (nodeId: string): boolean => nodeId === 'h1' || nodeId === 'e1';

const partitionLinks = ({links}: FailureCluster, isPartitioned: (from: string, to: string) => boolean): void => {
	for (const {from, to, relay} of links.adjacentTo(['c1', 'c2', 'c3'])) {
		if (isPartitioned(from, to)) {
			relay.setModes({forward: 'dropped', backward: 'dropped'});
		}
	}
};

/** Drains the first host through the second entry and sends requests through both, with the default lease. */
const drainAndCall = async (t: Test, cluster: FailureCluster): Promise<void> => {
	const {history} = cluster;
	// The first attempt may go to the partitioned control host and be lost there; a resend with its id is accepted.
	t.ok(await mustOperate(cluster, 'drain host h1', {entry: 1}) > 0, 'accepted');
	history.record({type: 'leaveStarted', nodeId: 'h1', cause: 'drain'});
	const endAtMs = performance.now() + 6000;
	for (let number = 0; performance.now() < endAtMs; number++) {
		await Promise.all([0, 1].map(async entry => stream(cluster, `call-${number}-${entry}`, entry, 1)));
		await delay(20);
	}

	t.ok(eventsOf(history.events, 'callEnded').some(({outcome}) => outcome.type === 'notRun'), 'the partitioned entry finally refuses requests');
	t.same(checkHistory(history.events), []);
};

// A host and an entry lose their connections to the control hosts; neither
// receives the drain that an operator submits through the other entry. Callers
// of the partitioned entry continue, and until the leases expire they may still
// reach the host. Three seconds after the drain it gets no new work: without its
// lease the entry refuses requests as "not run", and so does the host.
t.test('a drain that neither the host nor an entry receives', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t, 1);
	partitionLinks(cluster, (from, to) => isPartitionedNode(from) && to.startsWith('c'));
	await drainAndCall(t, cluster);
});

// The same, but the host and the entry still reach one control host, which is
// partitioned from the others and does not receive the drain either. It answers
// their watches until the leader's last lease expires. If each response granted
// a full lease, the host would get work for the sum of both leases.
t.test('a drain that the only reachable control host does not receive', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t, 1);
	const {nodeId} = cluster.controls.find(control => !control.node()!.isLeader())!;
	const isBetweenControls = (from: string, to: string): boolean => from.startsWith('c') && (from === nodeId || to === nodeId);
	partitionLinks(cluster, (from, to) => to.startsWith('c') && (isBetweenControls(from, to) || (isPartitionedNode(from) && to !== nodeId)));
	await drainAndCall(t, cluster);
});

// Long streams run through every entry and agent. Then a host is drained, and an
// agent, an entry and the leader of the control hosts are stopped as planned.
// Callers get every stream to its end: a leaving node refuses new requests,
// finishes the running ones, and only then exits.
t.test('planned stops of every role with streams running', {timeout: 60_000}, async t => {
	const cluster = await startCluster(t, 20);
	const {history, agents, entries, controls} = cluster;
	const plannedStop = async (handle: {readonly nodeId: string; stop(): Promise<void>}): Promise<void> => {
		history.record({type: 'leaveStarted', nodeId: handle.nodeId, cause: 'stop'});
		await handle.stop();
	};

	const streams = Promise.all(Array.from({length: 12}, async (_, index) => stream(cluster, `long-${index}`, index % 2, 100)));
	await waitUntil('every stream runs', () => eventsOf(history.events, 'runStarted').length === 12);
	t.match(await operate(cluster, 'drain host h2'), {type: 'accepted'});
	history.record({type: 'leaveStarted', nodeId: 'h2', cause: 'drain'});
	await Promise.all([
		plannedStop(agents[0]!),
		plannedStop(entries[1]!),
		plannedStop(controls.find(control => control.node()?.isLeader()) ?? controls[0]!),
	]);
	const outcomes = await streams;
	t.same(outcomes.filter(outcome => outcome.type !== 'answered'), [], 'every stream reached its end');
	t.same(checkHistory(history.events), []);
});
