import {setTimeout as delay} from 'node:timers/promises';
import {waitUntil, type ClientAnswer} from '@bitternpaddle/daemon';
import t from 'tap';
import {createRequestCluster, isWholeStream, type RequestCluster} from './support/request-cluster.js';

const crashing = 'write the handover';
const stableMs = 3000;
/** Runs that are allowed behind the third end, once every entry must know. */
const allowedRuns = 3;

const runsOf = ({engines}: RequestCluster): number => engines.reduce((sum, {endpoint}) => sum + endpoint.runs.length, 0);

const repeat = async (cluster: RequestCluster, entry: number): Promise<ClientAnswer | null> => cluster.chat({content: crashing, entry}).catch(() => null);

const endAfter = (cluster: RequestCluster, afterTokens: number): void => {
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.endsUnder = {content: crashing, afterTokens, downMs: 100};
	}
};

for (const afterTokens of [0, 3]) {
	t.test(`a request that ends its endpoints behind ${afterTokens} tokens is soon run by none, whichever entry is asked`, async t => {
		const cluster = await createRequestCluster(t, {engines: 6, entries: 2});
		await cluster.load(1);
		endAfter(cluster, afterTokens);
		for (let index = 0; index < 3; index++) {
			await repeat(cluster, index % 2);
		}

		await delay(stableMs);
		const before = runsOf(cluster);
		const answers = [];
		for (let index = 0; index < 8; index++) {
			answers.push(await repeat(cluster, index % 2));
		}

		t.ok(runsOf(cluster) - before <= allowedRuns, `${runsOf(cluster) - before} runs`);
		t.equal(answers.at(-1)?.status, 400);
		t.equal(answers.at(-2)?.status, 400, 'at the other entry too');
		await waitUntil('another request is answered', async () => {
			const answer = await cluster.chat({content: 'another'}).catch(() => null);
			return answer !== null && isWholeStream(answer);
		});
	});
}

// Engines that hold a copy say nothing: without a verdict the copies wait for their deadline.
t.test('copies that are under way when the verdict falls are given up', async t => {
	const cluster = await createRequestCluster(t, {engines: 6, entries: 2, endpointIdleMs: 60_000});
	await cluster.load(1);
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.isSilent = true;
	}

	const held = [0, 1].map(async entry => repeat(cluster, entry));
	await waitUntil('both copies lie at engines', () => runsOf(cluster) === 2);
	for (const {endpoint: {faults, runs}} of cluster.engines.filter(({endpoint}) => endpoint.runs.length === 0)) {
		faults.isSilent = false;
		faults.endsUnder = {content: crashing, afterTokens: 0, downMs: 100};
	}

	const others = Array.from({length: 12}, async (_, index) => repeat(cluster, index % 2));
	t.same((await Promise.all(held)).map(answer => answer?.status), [400, 400]);
	await Promise.all(others);
});

t.test('a request whose connections are cut is not taken for one', async t => {
	const cluster = await createRequestCluster(t, {engines: 2});
	await cluster.load(1);
	for (const {endpoint} of cluster.engines) {
		endpoint.faults.cutAfterTokens = 0;
	}

	for (let index = 0; index < 6; index++) {
		t.not((await repeat(cluster, 0))?.status, 400);
	}
});
