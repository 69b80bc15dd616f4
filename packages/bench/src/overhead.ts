import http from 'node:http';
import process from 'node:process';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {benchTeamKey, createProcessCluster} from './processes.js';

const rounds = 5;
const warmUpRequests = 1000;
const requestsPerRound = 2000;
const concurrency = 8;
const requestTimeoutMs = 10_000;

type Path = {
	readonly address: string;
	readonly histogram: Histogram;
	readonly pool: http.Agent;
	/** Total duration of the counted rounds. */
	tookMs: number;
};

type Latencies = {readonly p50Ms: number; readonly p99Ms: number; readonly requestsPerSecond: number};

const body = JSON.stringify({model: 'pitch-desk', max_tokens: 1, messages: [{role: 'user', content: 'hello'}]});

const createPath = (address: string): Path => ({
	address, histogram: buildHistogram({numberOfSignificantValueDigits: 3}), pool: new http.Agent({keepAlive: true, maxFreeSockets: concurrency}), tookMs: 0,
});

const sendOne = async ({address, pool}: Path): Promise<void> => {
	const response = await sendHttp({
		address, method: 'POST', path: '/v1/chat/completions', agent: pool, body, idleTimeoutMs: requestTimeoutMs,
		headers: {'content-type': 'application/json', authorization: `Bearer ${benchTeamKey}`},
	});
	const text = await readBody(response);
	if (response.statusCode !== 200) {
		throw new Error(`request failed with status ${response.statusCode} during the measurement: ${text.toString()}`);
	}
};

/** Sends requests in a closed loop: each of the concurrent callers sends its next request when it has received the response to the last one. */
const sendMany = async (path: Path, count: number, isCounted: boolean): Promise<void> => {
	let left = count;
	const startedAtMs = performance.now();
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (left > 0) {
			left--;
			const sentAtMs = performance.now();
			await sendOne(path);
			if (isCounted) {
				path.histogram.recordValue(Math.round((performance.now() - sentAtMs) * 1000));
			}
		}
	}));
	if (isCounted) {
		path.tookMs += performance.now() - startedAtMs;
	}
};

const latenciesOf = ({histogram, tookMs}: Path): Latencies => ({
	p50Ms: histogram.getValueAtPercentile(50) / 1000,
	p99Ms: histogram.getValueAtPercentile(99) / 1000,
	requestsPerSecond: Math.round(rounds * requestsPerRound / tookMs * 1000),
});

const ratio = (value: number, base: number): number => Math.round(value / base * 100) / 100;

/**
 * Compares the path caller -> entry -> agent -> engine with caller -> engine, each
 * in its own process and all over keep-alive connections. The two paths alternate
 * by round, so that other load on the machine affects both. `--profile FOLDER`
 * writes CPU profiles.
 */
export const measureOverhead = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const profileIndex = flags.indexOf('--profile');
	const cluster = await createProcessCluster({profileFolder: profileIndex === -1 ? undefined : flags[profileIndex + 1]});
	const directPath = createPath(cluster.engineAddress);
	const routedPath = createPath(cluster.entryAddress);
	try {
		for (const path of [directPath, routedPath]) {
			await sendMany(path, warmUpRequests, false);
		}

		for (let round = 1; round <= rounds; round++) {
			for (const path of [directPath, routedPath]) {
				await sendMany(path, requestsPerRound, true);
			}

			process.stdout.write(`round ${round}: direct ${latenciesOf(directPath).p50Ms} ms, through the entry ${latenciesOf(routedPath).p50Ms} ms at p50\n`);
		}

		const direct = latenciesOf(directPath);
		const through = latenciesOf(routedPath);
		return {
			bench: 'overhead', requests: rounds * requestsPerRound, concurrency, direct, through,
			addedMs: {p50: ratio(through.p50Ms - direct.p50Ms, 1), p99: ratio(through.p99Ms - direct.p99Ms, 1)},
			ratios: {p50: ratio(through.p50Ms, direct.p50Ms), p99: ratio(through.p99Ms, direct.p99Ms), requestsPerSecond: ratio(through.requestsPerSecond, direct.requestsPerSecond)},
		};
	} finally {
		directPath.pool.destroy();
		routedPath.pool.destroy();
		await cluster.close();
	}
};
