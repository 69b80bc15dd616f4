import {
	createFailureCluster, failureTeamKey, loadFirstVersion, mustOperate, queryRows, waitUntil, type FailureCluster, type FailureClusterOptions,
} from '@bitternpaddle/daemon';
import {
	checkHistory, eventsOf, recordCall, type CallOutcome,
} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import t, {type Test} from 'tap';

const startCluster = async (t: Test, engines: number, options: FailureClusterOptions = {}) => {
	const cluster = await createFailureCluster({engines, ...options});
	t.teardown(async () => cluster.close());
	await loadFirstVersion(cluster);
	return cluster;
};

const sendChat = async (cluster: FailureCluster, callId: string): Promise<CallOutcome> => recordCall({
	history: cluster.history, callId, entryId: 'e1', address: cluster.entries[0]!.node()!.address, token: failureTeamKey,
	target: {
		type: 'model', modelId: 'pitch-desk', isStream: true, maxTokens: 4,
	},
});

const waitUntilSecondVersionReady = async (cluster: FailureCluster, count: number): Promise<void> => waitUntil('all replicas of the second version ready', async () => {
	const rows = await queryRows(cluster, 'show replicas where ready = true and version = pitch-desk:v2');
	return rows.length === count;
}, {timeoutMs: 60_000});

/** Sends requests without a pause until `isOver`. */
const sendChatsUntil = async (cluster: FailureCluster, name: string, isOver: () => boolean): Promise<void> => {
	for (let number = 0; !isOver(); number++) {
		await sendChat(cluster, `${name}-${number}`);
	}
};

// The origin corrupts every chunk while a second version is loaded, and recovers
// later; meanwhile a host that is fetching chunks is killed and restarted. Callers
// get answers of the first version, then of the second, all from the right
// weights: a chunk is verified before it is stored or sent to a peer, and the
// complete file before the engine is ordered to load it.
t.test('corrupted chunks and a restart during a transfer', {timeout: 90_000}, async t => {
	const cluster = await startCluster(t, 3);
	let isOver = false;
	const callers = [1, 2].map(async number => sendChatsUntil(cluster, `caller-${number}`, () => isOver));
	cluster.origin.faults.isCorrupting = true;
	await mustOperate(cluster, 'load pitch-desk:v2 on fleet fair');
	await waitUntil('a host noticed a corrupted chunk', async () => (await queryRows(cluster, 'show transfers where version = pitch-desk:v2')).some(row => String(row.detail).includes('digest')));
	await cluster.agents[0]!.kill();
	await cluster.agents[0]!.start();
	cluster.origin.faults.isCorrupting = false;
	await waitUntilSecondVersionReady(cluster, 3);
	t.match(await sendChat(cluster, 'last'), {type: 'answered', versionId: 'pitch-desk:v2'});
	isOver = true;
	await Promise.all(callers);
	t.same(checkHistory(cluster.history.events), []);
});

// An engine that ignores fencing numbers executes an outdated load command without
// its agent's knowledge: it now holds other weights than its agent assumes. Callers
// get an error, but never an answer that is tagged with the agent's version and
// computed by the other, because the request gate checks the digest in the
// engine's response.
t.test('an engine that changed its weights without its agent\'s knowledge', {timeout: 60_000}, async t => {
	// The agent's periodic check would eventually reload the engine; the request gate must be sufficient without it.
	const cluster = await startCluster(t, 2, {weights: {engineCheckMs: 600_000}});
	await mustOperate(cluster, 'load pitch-desk:v2 on fleet fair');
	await waitUntilSecondVersionReady(cluster, 2);
	// All engines, so that the first request reaches one of them whichever host the entry prefers.
	for (const engine of cluster.engines.values()) {
		const response = await sendHttp({
			address: engine.address, method: 'POST', path: '/engine/load', idleTimeoutMs: 5000,
			body: JSON.stringify({versionId: 'pitch-desk:v1', filePath: engine.loadedFiles[0]!, fencingNumber: 1_000_000}),
		});
		await readBody(response);
	}

	for (let number = 0; number < 20; number++) {
		await sendChat(cluster, `after-${number}`);
	}

	const runs = eventsOf(cluster.history.events, 'runStarted').filter(run => run.digest === cluster.manifests[0]!.digest);
	t.ok(runs.length > 0, 'the engine did run requests with the earlier weights');
	t.same(checkHistory(cluster.history.events), []);
});
