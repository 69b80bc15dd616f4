import {createFailureCluster, failureTeamKey, loadFirstVersion} from '@bitternpaddle/daemon';
import {checkHistory, recordCall, type CallOutcome} from '@bitternpaddle/test-support';
import t, {type Test} from 'tap';

const startCluster = async (t: Test) => {
	const cluster = await createFailureCluster({engines: 2});
	t.teardown(async () => cluster.close());
	await loadFirstVersion(cluster);
	const sendChat = async (callId: string, isStream: boolean): Promise<CallOutcome> => recordCall({
		history: cluster.history, callId, entryId: 'e1', address: cluster.entries[0]!.node()!.address, token: failureTeamKey,
		target: {
			type: 'model', modelId: 'pitch-desk', isStream, maxTokens: 5,
		},
	});
	return {cluster, sendChat};
};

// An engine mixes up its connections: it responds to each request with the answer
// to the previous one, including its request id. Callers of that engine get the
// error that their request may have run; no caller gets another caller's answer,
// because the request gate compares the request id of the answer with its own.
t.test('answers to other requests are not forwarded', async t => {
	const {cluster, sendChat} = await startCluster(t);
	for (const engine of cluster.engines.values()) {
		engine.faults.sendsPreviousAnswer = true;
	}

	const outcomes = await Promise.all(Array.from({length: 12}, async (_, index) => sendChat(`crossed-${index}`, index % 2 === 0)));
	t.notOk(outcomes.some(outcome => outcome.type === 'answered'), 'no mismatched answer is forwarded');
	t.same(checkHistory(cluster.history.events), []);
});

// An engine closes the connection after two tokens. A caller who streams sees the
// connection break, one who does not gets an error; neither can take the received
// part for the complete answer, because the end marker is missing.
t.test('answers that are truncated by the engine do not look complete', async t => {
	const {cluster, sendChat} = await startCluster(t);
	for (const engine of cluster.engines.values()) {
		engine.faults.cutAfterTokens = 2;
	}

	const outcomes = await Promise.all(Array.from({length: 12}, async (_, index) => sendChat(`cut-${index}`, index % 2 === 0)));
	t.notOk(outcomes.some(outcome => outcome.type === 'answered'), 'no truncated answer is forwarded');
	t.same(checkHistory(cluster.history.events), []);
});
