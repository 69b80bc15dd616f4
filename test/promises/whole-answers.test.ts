import {createFailureCluster, failureTeamKey, loadFirstVersion} from '@bitternpaddle/daemon';
import {checkHistory, recordCall, type CallOutcome} from '@bitternpaddle/test-support';
import t, {type Test} from 'tap';

const startCluster = async (t: Test) => {
	const cluster = await createFailureCluster({engines: 2});
	t.teardown(async () => cluster.close());
	await loadFirstVersion(cluster);
	const ask = async (callId: string, isStream: boolean): Promise<CallOutcome> => recordCall({
		history: cluster.history, callId, entryId: 'e1', address: cluster.entries[0]!.node()!.address, token: failureTeamKey,
		target: {
			type: 'model', modelId: 'pitch-desk', isStream, maxTokens: 5,
		},
	});
	return {cluster, ask};
};

// An engine mixes up its connections: it answers each request with the answer
// to the one before, request id included. Callers of that engine see an error
// that says that their request may have run; nobody sees another caller's
// answer, because the door compares the request id of the answer with its own.
t.test('answers that are crossed at the engine reach nobody', async t => {
	const {cluster, ask} = await startCluster(t);
	for (const engine of cluster.engines.values()) {
		engine.faults.isCrossed = true;
	}

	const outcomes = await Promise.all(Array.from({length: 12}, async (_, index) => ask(`crossed-${index}`, index % 2 === 0)));
	t.notOk(outcomes.some(outcome => outcome.type === 'answered'), 'no crossed answer is passed on');
	t.same(checkHistory(cluster.history.events), []);
});

// An engine's connection is cut after two tokens. A caller who streams sees
// the connection break, one who does not gets an error; neither can take what
// came for the whole answer, because the end marker is missing.
t.test('answers that are cut at the engine do not look whole', async t => {
	const {cluster, ask} = await startCluster(t);
	for (const engine of cluster.engines.values()) {
		engine.faults.cutAfterTokens = 2;
	}

	const outcomes = await Promise.all(Array.from({length: 12}, async (_, index) => ask(`cut-${index}`, index % 2 === 0)));
	t.notOk(outcomes.some(outcome => outcome.type === 'answered'), 'no cut answer is passed on');
	t.same(checkHistory(cluster.history.events), []);
});
