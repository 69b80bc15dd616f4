import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createFakeOrigin, freeAddresses} from '@bitternpaddle/test-support';
import {
	build as buildHistogram, decodeFromCompressedBase64, type Histogram,
} from 'hdr-histogram-js';
import {letter, limits} from './letter.js';
import {withFolder, type Measured} from './measure-state.js';
import {adminToken, loadReplicas, teamKey} from './measure-stream.js';
import {usageBetween} from './process-usage.js';
import {startDaemon, startScript, type DaemonProcess} from './processes.js';
import type {TokenCall, TokenCallResult} from './token-call.js';

const multiples = [0.25, 0.5, 0.75, 1, 2, 4] as const;
/** Above a node's share the entry's loop fills up, and no line is a fair model any more. */
const fittedTo = 1;
const agentCount = 8;
const callerCount = 4;
/** So that an engine alone keeps the bound between tokens, and leaves a part of it to the system. */
export const engineTokenMs = 20;
const tokensPerRequest = Math.round(letter.tokensPerSecond / letter.requestsPerSecond);
const shareOfRequests = letter.requestsPerSecond / letter.nodes;
/** Longer than a stream takes, so that as many begin as end. */
const warmUpMs = 9000;
const measureMs = 10_000;
/** Streams to the engines past the system, beside those through it: enough for a quantile, too few to load the engines. */
const directRequestsPerSecond = 6;

type Path = {readonly entry: DaemonProcess; readonly entryAddress: string; readonly engineAddresses: readonly string[]};

/** Quantiles. */
export type Times = {readonly p50Ms: number; readonly p95Ms: number; readonly p99Ms: number};
type Seen = {readonly firstToken: Times; readonly gap: Times; readonly tokensPerSecond: number; readonly failed: number};

/** What callers saw at one multiple of a node's share. */
export type TokenRow = {readonly multiple: number; readonly entryPercent: number; readonly direct: Seen; readonly through: Seen};

/** One entry with agents and engines, each a process of its own; only the origin is in this one. */
const withPath = async (work: (path: Path) => Promise<void>): Promise<void> => withFolder(async folder => {
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
		await Promise.all([...agents, entry, control, ...engines].map(async started => started.end()));
		await origin.close();
	}
});

const merged = (encoded: readonly string[]): Histogram => {
	const whole = buildHistogram({numberOfSignificantValueDigits: 3});
	for (const text of encoded) {
		whole.add(decodeFromCompressedBase64(text));
	}

	return whole;
};

const timesOf = (histogram: Histogram): Times => {
	const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
	return {p50Ms: at(50), p95Ms: at(95), p99Ms: at(99)};
};

const seenBy = (results: readonly TokenCallResult[]): Seen => ({
	firstToken: timesOf(merged(results.map(result => result.firstTokens))),
	gap: timesOf(merged(results.map(result => result.gaps))),
	tokensPerSecond: results.reduce((sum, result) => sum + result.tokensPerSecond, 0),
	failed: results.reduce((sum, result) => sum + result.failed, 0),
});

const startCaller = (call: Pick<TokenCall, 'addresses' | 'requestsPerSecond' | 'seed'>) => startScript('token-caller', [JSON.stringify({
	...call, authorization: `Bearer ${teamKey}`, warmUpMs, measureMs, tokens: tokensPerRequest,
} satisfies TokenCall)]);

const resultsOf = async (callers: ReadonlyArray<ReturnType<typeof startCaller>>): Promise<TokenCallResult[]> => {
	const lines = await Promise.all(callers.map(async caller => caller.line));
	return lines.map(line => JSON.parse(line) as TokenCallResult);
};

const measureMultiple = async ({entry, entryAddress, engineAddresses}: Path, multiple: number): Promise<TokenRow> => {
	const direct = startCaller({addresses: engineAddresses, requestsPerSecond: directRequestsPerSecond, seed: 1});
	const through = Array.from({length: callerCount}, (_, index) => startCaller({
		addresses: [entryAddress], requestsPerSecond: multiple * shareOfRequests / callerCount, seed: index + 2,
	}));
	try {
		await delay(warmUpMs + 1000);
		const usedMs = measureMs - 2000;
		const {processorMs} = await usageBetween(entry.pid, async () => delay(usedMs));
		return {
			multiple, entryPercent: processorMs / usedMs * 100, direct: seenBy(await resultsOf([direct])), through: seenBy(await resultsOf(through)),
		};
	} finally {
		await Promise.all([direct, ...through].map(async caller => caller.end()));
	}
};

/** Streams through one entry at multiples of what one of the letter's nodes carries. */
export const measureTokens = async (): Promise<{rows: TokenRow[]; measured: Measured}> => {
	const rows: TokenRow[] = [];
	await withPath(async path => {
		// Compiles the code; not counted.
		await measureMultiple(path, 1);
		for (const multiple of multiples) {
			rows.push(await measureMultiple(path, multiple));
		}
	});
	const points = (y: (row: TokenRow) => number) => rows.filter(({multiple}) => multiple <= fittedTo).map(row => ({x: row.through.tokensPerSecond / 1000, y: y(row)}));
	return {
		rows, measured: {
			'entry.tokens.processor': points(row => row.entryPercent),
			'entry.tokens.first': points(row => row.through.firstToken.p95Ms - row.direct.firstToken.p95Ms),
			'entry.tokens.gap': points(row => row.through.gap.p95Ms),
		},
	};
};

/** The first measured multiple at which the letter's bound is missed. */
export const brokenAt = (rows: readonly TokenRow[]): number | null => rows.find(row => row.through.gap.p95Ms > limits.tokenGapMs)?.multiple ?? null;
