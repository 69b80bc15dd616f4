import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil, type ClientAnswer} from '@bitternpaddle/daemon';
import t from 'tap';
import {createRequestCluster, isCompleteStream, type RequestCluster} from './support/request-cluster.js';

const crashingContent = 'write the handover';
const stableMs = 3000;
/** Maximum number of runs after the third crash, when every entry must have the quarantine. */
const allowedRuns = 3;

const runsOf = ({engines}: RequestCluster): number => engines.reduce((sum, {endpoint}) => sum + endpoint.runs.length, 0);

const sendCrashingRequest = async (cluster: RequestCluster, entry: number): Promise<ClientAnswer | null> => cluster.chat({content: crashingContent, entry}).catch(() => null);

const crashAfter = (cluster: RequestCluster, afterTokens: number): void => {
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.crashesOn = {content: crashingContent, afterTokens, downMs: 100};
	}
};

for (const afterTokens of [0, 3]) {
	t.test(`a request that crashes its endpoints after ${afterTokens} tokens is soon run by none, whichever entry gets it`, async t => {
		const cluster = await createRequestCluster(t, {engines: 6, entries: 2});
		await cluster.load(1);
		crashAfter(cluster, afterTokens);
		for (let index = 0; index < 3; index++) {
			await sendCrashingRequest(cluster, index % 2);
		}

		await delay(stableMs);
		const before = runsOf(cluster);
		const answers = [];
		for (let index = 0; index < 8; index++) {
			answers.push(await sendCrashingRequest(cluster, index % 2));
		}

		t.ok(runsOf(cluster) - before <= allowedRuns, `${runsOf(cluster) - before} runs`);
		t.equal(answers.at(-1)?.status, 400);
		t.equal(answers.at(-2)?.status, 400, 'at the other entry too');
		await waitUntil('another request is answered', async () => {
			const answer = await cluster.chat({content: 'another'}).catch(() => null);
			return answer !== null && isCompleteStream(answer);
		});
	});
}

// Engines that hold a copy send no data: without the quarantine, the copies would wait for their deadline.
t.test('copies in flight are canceled when their request is quarantined', async t => {
	const cluster = await createRequestCluster(t, {engines: 6, entries: 2, endpointIdleMs: 60_000});
	await cluster.load(1);
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.isSilent = true;
	}

	const held = [0, 1].map(async entry => sendCrashingRequest(cluster, entry));
	await waitUntil('both copies have reached engines', () => runsOf(cluster) === 2);
	for (const {endpoint: {faults, runs}} of cluster.engines.filter(({endpoint}) => endpoint.runs.length === 0)) {
		faults.isSilent = false;
		faults.crashesOn = {content: crashingContent, afterTokens: 0, downMs: 100};
	}

	const others = Array.from({length: 12}, async (_, index) => sendCrashingRequest(cluster, index % 2));
	t.same((await Promise.all(held)).map(answer => answer?.status), [400, 400]);
	await Promise.all(others);
});

t.test('a request whose connections are closed is not taken for a crashing one', async t => {
	const cluster = await createRequestCluster(t, {engines: 2});
	await cluster.load(1);
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.cutAfterTokens = 0;
	}

	for (let index = 0; index < 6; index++) {
		t.not((await sendCrashingRequest(cluster, 0))?.status, 400);
	}
});
