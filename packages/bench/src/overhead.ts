import {
	createDevCluster, postJson, sendLine, waitUntil, type ClientOptions, type DevCluster,
} from '@bitternpaddle/daemon';
import {build as buildHistogram} from 'hdr-histogram-js';

const warmUpRequests = 100;
const requests = 1000;
const concurrency = 8;

type Latencies = {readonly p50Ms: number; readonly p99Ms: number; readonly requestsPerSecond: number};

const chatBody = {model: 'pitch-desk', max_tokens: 1, messages: [{role: 'user', content: 'hello'}]};

const measure = async (client: ClientOptions): Promise<Latencies> => {
	const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
	const sendMany = async (count: number, isCounted: boolean): Promise<void> => {
		let left = count;
		await Promise.all(Array.from({length: concurrency}, async () => {
			while (left > 0) {
				left--;
				const startedAtMs = performance.now();
				const {status} = await postJson({...client, path: '/v1/chat/completions', body: chatBody});
				if (status !== 200) {
					throw new Error(`status ${status} in the measurement`);
				}

				if (isCounted) {
					histogram.recordValue(Math.round((performance.now() - startedAtMs) * 1000));
				}
			}
		}));
	};

	await sendMany(warmUpRequests, false);
	const startedAtMs = performance.now();
	await sendMany(requests, true);
	const tookMs = performance.now() - startedAtMs;
	return {
		p50Ms: histogram.getValueAtPercentile(50) / 1000,
		p99Ms: histogram.getValueAtPercentile(99) / 1000,
		requestsPerSecond: Math.round(requests / tookMs * 1000),
	};
};

const loadOne = async (cluster: DevCluster): Promise<void> => {
	const client = {address: cluster.entries[0]!.address, token: cluster.adminToken};
	await waitUntil('the agents joined', async () => (await sendLine({...client, line: 'show hosts where role = agent'})).body.rows?.length === cluster.agents.length);
	const lines = [
		'create team bench key bench-key',
		'create model pitch-desk',
		`create version pitch-desk:v1 from manifest ${cluster.manifestIds[0]}`,
		'create fleet bench provider new for pitch-desk:v1 replicas 1',
		'load pitch-desk:v1 on fleet bench',
	];
	for (const line of lines) {
		await sendLine({...client, line});
	}

	await waitUntil('the replica is ready', async () => (await sendLine({...client, line: 'show replicas where ready = true'})).body.rows?.length === 1);
};

/** Caller -> entry -> agent -> engine, over caller -> engine, in one run and one process. */
export const measureOverhead = async (): Promise<Record<string, unknown>> => {
	const cluster = await createDevCluster({engines: 1, entries: 1});
	try {
		await loadOne(cluster);
		const direct = await measure({address: cluster.engines[0]!.address, token: 'none'});
		const through = await measure({address: cluster.entries[0]!.address, token: 'bench-key'});
		return {
			bench: 'overhead', requests, concurrency, direct, through,
			ratios: {p50: through.p50Ms / direct.p50Ms, p99: through.p99Ms / direct.p99Ms, requestsPerSecond: through.requestsPerSecond / direct.requestsPerSecond},
		};
	} finally {
		await cluster.close();
	}
};
