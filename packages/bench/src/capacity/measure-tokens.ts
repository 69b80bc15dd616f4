import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createFakeOrigin, freeAddresses} from '@bitternpaddle/test-support';
import {
	build as buildHistogram, decodeFromCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {targetDeployment, limits} from './target-deployment.js';
import {withTemporaryFolder, type Measured} from './measure-state.js';
import {adminToken, loadReplicas, teamKey} from './measure-stream.js';
import {measureUsage} from './process-usage.js';
import {startDaemon, startScript, type DaemonProcess} from './processes.js';
import type {TokenCall, TokenCallResult} from './token-call.js';

const multiples = [0.25, 0.5, 0.75, 1, 2, 4] as const;
/** Above a node's share the entry's event loop saturates, and a line is no longer an adequate model. */
const maxFittedMultiple = 1;
const agentCount = 8;
const callerCount = 4;
/** Below the limit between tokens, so that an engine alone meets it and leaves part of it to the system. */
export const engineTokenMs = 20;
const tokensPerRequest = Math.round(targetDeployment.tokensPerSecond / targetDeployment.requestsPerSecond);
const requestsPerNode = targetDeployment.requestsPerSecond / targetDeployment.nodes;
/** Longer than a stream takes, so that streams start and end at the same rate when measuring starts. */
const warmUpMs = 9000;
const measureMs = 10_000;
/** Rate of streams that go directly to the engines for comparison: enough for quantiles, too few to load the engines. */
const directRequestsPerSecond = 6;

type Path = {readonly entry: DaemonProcess; readonly entryAddress: string; readonly engineAddresses: readonly string[]};

/** Quantiles of a duration. */
export type Quantiles = {readonly p50Ms: number; readonly p95Ms: number; readonly p99Ms: number};
type CallerMeasurements = {readonly firstToken: Quantiles; readonly gap: Quantiles; readonly tokensPerSecond: number; readonly failed: number};

/** Measurements of the callers at one multiple of a node's share, with streams sent directly to the engines and through the entry. */
export type TokenRow = {readonly multiple: number; readonly entryPercent: number; readonly direct: CallerMeasurements; readonly through: CallerMeasurements};

/** Starts one entry with agents and engines, each in its own process; only the origin runs in this process. */
const withTokenPath = async (work: (path: Path) => Promise<void>): Promise<void> => withTemporaryFolder(async folder => {
	const [controlAddress, entryAddress] = await freeAddresses(2) as [string, string];
	const origin = await createFakeOrigin();
	const {manifestId} = await origin.publish(new Uint8Array(65_536).fill(7), 65_536);
	const controls = `c1=${controlAddress}`;
	const engines = Array.from({length: agentCount}, () => startScript('token-engine', [String(engineTokenMs)]));
	const engineAddresses = await Promise.all(engines.map(async engine => engine.line));
	const control = startDaemon({
		roles: 'control', 'host-id': 'c1', listen: controlAddress, controls, 'data-folder': path.join(folder, 'c1'),
	});
	const entry = startDaemon({
		roles: 'entry', 'host-id': 'e1', listen: entryAddress, controls, 'admin-tokens': `administer:${adminToken}`,
	});
	const agents = engineAddresses.map((endpoint, index) => startDaemon({
		roles: 'agent', 'host-id': `h${index}`, controls, endpoint, origin: origin.address, provider: 'new', capacity: '512', 'data-folder': path.join(folder, `h${index}`),
	}));
	try {
		await loadReplicas(entryAddress, manifestId, agentCount);
		await work({entry, entryAddress, engineAddresses});
	} finally {
		await Promise.all([...agents, entry, control, ...engines].map(async started => started.terminate()));
		await origin.close();
	}
});

const mergeHistograms = (encoded: readonly string[]): Histogram => {
	const total = buildHistogram({numberOfSignificantValueDigits: 3});
	for (const text of encoded) {
		total.add(decodeFromCompressedBase64(text));
	}

	return total;
};

const quantilesOf = (histogram: Histogram): Quantiles => {
	const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
	return {p50Ms: at(50), p95Ms: at(95), p99Ms: at(99)};
};

const measurementsOf = (results: readonly TokenCallResult[]): CallerMeasurements => ({
	firstToken: quantilesOf(mergeHistograms(results.map(result => result.firstTokens))),
	gap: quantilesOf(mergeHistograms(results.map(result => result.gaps))),
	tokensPerSecond: results.reduce((sum, result) => sum + result.tokensPerSecond, 0),
	failed: results.reduce((sum, result) => sum + result.failed, 0),
});

const startCaller = (call: Pick<TokenCall, 'addresses' | 'requestsPerSecond' | 'seed'>) => startScript('token-caller', [JSON.stringify({
	...call, authorization: `Bearer ${teamKey}`, warmUpMs, measureMs, tokens: tokensPerRequest,
} satisfies TokenCall)]);

const readResults = async (callers: ReadonlyArray<ReturnType<typeof startCaller>>): Promise<TokenCallResult[]> => {
	const lines = await Promise.all(callers.map(async caller => caller.line));
	return lines.map(line => JSON.parse(line) as TokenCallResult);
};

const measureMultiple = async ({entry, entryAddress, engineAddresses}: Path, multiple: number): Promise<TokenRow> => {
	const direct = startCaller({addresses: engineAddresses, requestsPerSecond: directRequestsPerSecond, seed: 1});
	const through = Array.from({length: callerCount}, (_, index) => startCaller({
		addresses: [entryAddress], requestsPerSecond: multiple * requestsPerNode / callerCount, seed: index + 2,
	}));
	try {
		await delay(warmUpMs + 1000);
		const usageMs = measureMs - 2000;
		const {processorMs} = await measureUsage(entry.pid, async () => delay(usageMs));
		return {
			multiple, entryPercent: processorMs / usageMs * 100, direct: measurementsOf(await readResults([direct])), through: measurementsOf(await readResults(through)),
		};
	} finally {
		await Promise.all([direct, ...through].map(async caller => caller.terminate()));
	}
};

/** Measures streams through one entry at multiples of the load of one node in the target deployment. */
export const measureTokens = async (): Promise<{rows: TokenRow[]; measured: Measured}> => {
	const rows: TokenRow[] = [];
	await withTokenPath(async path => {
		// Warm-up: compiles the code; the result is discarded.
		await measureMultiple(path, 1);
		for (const multiple of multiples) {
			rows.push(await measureMultiple(path, multiple));
		}
	});
	const points = (y: (row: TokenRow) => number) => rows.filter(({multiple}) => multiple <= maxFittedMultiple).map(row => ({x: row.through.tokensPerSecond / 1000, y: y(row)}));
	return {
		rows, measured: {
			'entry.tokens.processor': points(row => row.entryPercent),
			'entry.tokens.first': points(row => row.through.firstToken.p95Ms - row.direct.firstToken.p95Ms),
			'entry.tokens.gap': points(row => row.through.gap.p95Ms),
		},
	};
};

/** Returns the first measured multiple at which the required limit between tokens is exceeded. */
export const firstMultipleOverLimit = (rows: readonly TokenRow[]): number | null => rows.find(row => row.through.gap.p95Ms > limits.tokenGapMs)?.multiple ?? null;
