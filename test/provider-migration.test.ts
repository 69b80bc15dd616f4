import {
	createDevCluster, postJson, sendLine, waitUntil, type DevCluster,
} from '@bitternpaddle/daemon';
import t, {type Test} from 'tap';

const startTwoFleets = async (t: Test): Promise<DevCluster> => {
	const cluster = await createDevCluster({engines: 4, entries: 2});
	t.teardown(async () => cluster.close());
	const order = commandSender(cluster);
	await waitUntil('the hosts joined', async () => (await order('show hosts where role = agent')).rows?.length === 5);
	for (const line of [
		'create team marshals key marshals-key',
		'create model pitch-desk',
		`create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}`,
		'create fleet old provider new for pitch-desk:v1 replicas 2',
		'create fleet fresh provider new for pitch-desk:v1 replicas 2',
		'load pitch-desk:v1 on fleet old',
		'load pitch-desk:v1 on fleet fresh',
	]) {
		await order(line);
	}

	await waitUntil('all replicas are ready', async () => (await order('show replicas where ready = true')).rows?.length === 4);
	await waitUntilInForce(cluster);
	return cluster;
};

const commandSender = (cluster: DevCluster) => async (line: string) => (await sendLine({address: cluster.entries[0]!.address, token: cluster.adminToken, line})).body;

/** Waits until the last change is in force on all hosts: entries receive it some milliseconds after the leader. */
const waitUntilInForce = async (cluster: DevCluster): Promise<void> => waitUntil('in force on every host', async () => {
	const [row] = (await commandSender(cluster)('show revision')).rows!;
	return row!.inForce === row!.hosts;
});

/** Sends requests continuously until stopped; counts their outcomes. */
const startSendingRequests = (t: Test, cluster: DevCluster, isStreaming = false): {counts: {whole: number; failed: number; answers: Set<string>}; stop(): Promise<void>} => {
	const counts = {whole: 0, failed: 0, answers: new Set<string>()};
	const stopping = new AbortController();
	const body = {
		model: 'pitch-desk', stream: isStreaming, max_tokens: 2, messages: [{role: 'user', content: 'hello'}],
	};
	const call = async (entry: number): Promise<void> => {
		while (!stopping.signal.aborted) {
			const {status, text} = await postJson({
				address: cluster.entries[entry]!.address, token: 'marshals-key', path: '/v1/chat/completions', body,
			}).catch((error: unknown) => ({status: 0, text: (error as Error).message}));
			counts[status === 200 ? 'whole' : 'failed']++;
			if (status !== 200) {
				counts.answers.add(`${status} ${text}`.replaceAll(/"request_id":"[^"]*"/gv, ''));
			}
		}
	};

	const running = [0, 1].map(async entry => call(entry));
	t.teardown(() => {
		stopping.abort();
	});
	return {
		counts,
		async stop() {
			stopping.abort();
			await Promise.all(running);
		},
	};
};

// The operator moves all traffic to the other fleet in steps while callers send
// requests. During the rollout the leader of the control hosts is closed; the next
// one continues from the plan in the log. Every caller gets a complete answer, and
// the old fleet can be retired.
t.test('a rollout in steps continues after the leader is lost', {timeout: 90_000}, async t => {
	const cluster = await startTwoFleets(t);
	const order = commandSender(cluster);
	const callers = startSendingRequests(t, cluster);
	await order('move 100% of pitch-desk from fleet old to fleet fresh in steps of 25% every 1 s stopping above 5%');
	const moved = async (): Promise<number> => Number((await order('show moves')).rows?.[0]?.moved ?? 0);
	await waitUntil('the first step', async () => await moved() >= 25);
	await cluster.controls.find(control => control.isLeader())!.close();
	await waitUntil('the rollout is done', async () => (await order('show moves where state = done')).rows?.length === 1);
	await callers.stop();
	t.match((await order('show models')).rows, [{traffic: 'fresh 100%'}]);
	t.equal((await order('retire fleet old')).type, 'accepted');
	t.equal(callers.counts.failed, 0, `${callers.counts.whole} complete answers; others: ${[...callers.counts.answers].join(', ')}`);
});

// The engines of the other fleet truncate their answers. The rollout stops
// automatically after its first step; the operator rolls it back, and no request
// fails any more.
t.test('a rollout stops when the other fleet fails, and is rolled back', {timeout: 90_000}, async t => {
	const cluster = await startTwoFleets(t);
	const order = commandSender(cluster);
	const freshHosts = new Set((await order('show replicas where fleet = fresh')).rows!.map(row => row.host));
	for (const [position, engine] of cluster.engines.entries()) {
		if (freshHosts.has(`h${position + 1}`)) {
			engine.faults.cutAfterTokens = 0;
		}
	}

	const callers = startSendingRequests(t, cluster);
	await order('move 100% of pitch-desk from fleet old to fleet fresh in steps of 25% every 5 s stopping above 5%');
	await waitUntil('it stops', async () => (await order('show moves where state = stopped')).rows?.length === 1);
	t.match((await order('show moves')).rows, [{moved: 25, state: 'stopped', detail: /requests to fresh failed/v}]);
	t.equal((await order('retire fleet old')).type, 'refused');
	await order('roll back move of pitch-desk');
	t.match((await order('show models')).rows, [{traffic: 'old 100%'}]);
	await waitUntilInForce(cluster);
	await callers.stop();
	const before = {...callers.counts};
	const after = startSendingRequests(t, cluster);
	await waitUntil('requests were sent again', () => after.counts.whole > 20);
	await after.stop();
	t.equal(after.counts.failed, 0, `${before.failed} failed before`);
});

// The engines of the other fleet answer everything completely, but late. No request
// fails, so the error rate stays 0; but the service's error budget for the first
// token burns at the rate of a page-level alert, which stops the rollout.
t.test('a rollout stops when the burn rate of its service rises, without an error', {timeout: 90_000}, async t => {
	const cluster = await startTwoFleets(t);
	const order = commandSender(cluster);
	await order('set objective for service bp-writers whole 99.9% first token 99% within 500 ms');
	await waitUntilInForce(cluster);
	const freshHosts = new Set((await order('show replicas where fleet = fresh')).rows!.map(row => row.host));
	const callers = startSendingRequests(t, cluster, true);
	await waitUntil('requests were sent', () => callers.counts.whole > 20);
	await order('move 100% of pitch-desk from fleet old to fleet fresh in steps of 50% every 600 s stopping above 5%');
	await waitUntil('the first step', async () => (await order('show moves where moved = 50')).rows?.length === 1);
	for (const [position, engine] of cluster.engines.entries()) {
		if (freshHosts.has(`h${position + 1}`)) {
			engine.faults.stallMs = 800;
		}
	}

	await waitUntil('it stops', async () => (await order('show moves where state = stopped')).rows?.length === 1);
	t.match((await order('show moves')).rows, [{moved: 50, state: 'stopped', detail: /first token in time.*bp-writers.*burns/v}]);
	await callers.stop();
	t.equal(callers.counts.failed, 0, [...callers.counts.answers].join(', '));
});
