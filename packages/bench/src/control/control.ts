import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {
	createConfigurationClient, createControlNode, waitUntil, type ConfigurationClient,
} from '@bitternpaddle/daemon';
import type {HostReport, ProposeResult} from '@bitternpaddle/protocol';
import {commandId, modelId} from '@bitternpaddle/state';
import {callRpc, silentLogger} from '@bitternpaddle/transport';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {startControlProcesses, type ControlProcesses} from './control-processes.js';
import {createCountingProxy} from './counting-proxy.js';

const kills = 20;
/** Number of concurrent commands around a stop, and how long they run before and after it. */
const gapProposers = 4;
const gapMarginMs = 300;
const hosts = 200;
const changes = 40;
const commitSeconds = 4;
const inFlight = 64;
const restartChanges = 10_000;

let proposed = 0;

const proposeOnce = async (address: string, name: string, timeoutMs: number): Promise<ProposeResult> => callRpc<ProposeResult>({
	address, method: 'control.propose', timeoutMs,
	params: {command: {commandId: commandId(name), ifRevision: null, change: {type: 'createModel', modelId: modelId(name)}}},
});

/** Sends one change until a control host accepts it; returns its revision. */
const propose = async (addresses: readonly string[], timeoutMs = 1000): Promise<number> => {
	proposed++;
	const name = `model-${proposed}`;
	for (let attempt = 0; ; attempt++) {
		const result = await proposeOnce(addresses[attempt % addresses.length]!, name, timeoutMs).catch(() => null);
		if (result?.type === 'accepted') {
			return result.revision;
		}

		await delay(10);
	}
};

const percentile = (values: readonly number[], share: number): number => Math.round(values.toSorted((a, b) => a - b)[Math.min(values.length - 1, Math.floor(values.length * share))]!);

const measureFailover = async (group: ControlProcesses): Promise<{p50: number; worst: number; all: number[]}> => {
	const all: number[] = [];
	for (let round = 0; round < kills; round++) {
		const leader = await group.leader();
		await propose([...group.addresses.values()]);
		const others = [...group.addresses].filter(([hostId]) => hostId !== leader).map(([, address]) => address);
		await group.kill(leader);
		const startedAtMs = performance.now();
		await propose(others);
		all.push(Math.round(performance.now() - startedAtMs));
		group.start(leader);
		await waitUntil('the former leader is ready again', async () => (await group.readiness(leader))?.isReady ?? false);
	}

	return {p50: percentile(all, 0.5), worst: Math.max(...all), all};
};

const reportOf = (hostId: string, revision: number): HostReport => ({
	hostId, role: 'entry', address: '127.0.0.1:1', revision, requestsInFlight: 0, announcement: null, readyVersionId: null, isLeaving: false, transfers: [],
});

type Watcher = {readonly client: ConfigurationClient; readonly reachedAtMs: Map<number, number>};

const startWatcher = (hostId: string, controls: readonly string[]): Watcher => {
	const reachedAtMs = new Map<number, number>();
	const client: ConfigurationClient = createConfigurationClient({
		controls, logger: silentLogger,
		report: () => reportOf(hostId, client.catalog().revision),
		onChange(catalog) {
			reachedAtMs.set(catalog.revision, performance.now());
		},
	});
	return {client, reachedAtMs};
};

const measureInForce = async (group: ControlProcesses): Promise<{histogram: Histogram; bytesPerHostPerChange: number}> => {
	const controls = [...group.addresses.values()];
	const proxy = await createCountingProxy(controls[0]!);
	const watchers = Array.from({length: hosts}, (_, index) => startWatcher(`host-${index}`, index === 0 ? [proxy.address] : controls));
	const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
	try {
		const current = await propose(controls);
		await Promise.all(watchers.map(async ({client}) => client.waitForRevision(current, 20_000)));
		await delay(1000);
		const idleBytes = proxy.bytes();
		await delay(4000);
		const idleBytesPerSecond = (proxy.bytes() - idleBytes) / 4;
		const beforeBytes = proxy.bytes();
		const startedAtMs = performance.now();
		for (let change = 0; change < changes; change++) {
			const sentAtMs = performance.now();
			const revision = await propose(controls);
			const reached = await Promise.all(watchers.map(async ({client}) => client.waitForRevision(revision, 20_000)));
			if (!reached.every(Boolean)) {
				throw new Error('a host did not reach the revision');
			}

			for (const {reachedAtMs} of watchers) {
				const reachedAt = [...reachedAtMs].find(([seen]) => seen >= revision)![1];
				histogram.recordValue(Math.max(1, Math.round(reachedAt - sentAtMs)));
			}

			await delay(100);
		}

		const idleBytesDuringChanges = idleBytesPerSecond * (performance.now() - startedAtMs) / 1000;
		return {histogram, bytesPerHostPerChange: Math.round(Math.max(0, proxy.bytes() - beforeBytes - idleBytesDuringChanges) / changes)};
	} finally {
		for (const {client} of watchers) {
			client.close();
		}

		proxy.close();
	}
};

const measureRestart = async (group: ControlProcesses): Promise<number[]> => {
	const controls = [...group.addresses.values()];
	const leader = await group.leader();
	const leaderAddress = group.addresses.get(leader)!;
	let left = restartChanges - proposed;
	let revision = 0;
	await Promise.all(Array.from({length: inFlight}, async () => {
		while (left > 0) {
			left--;
			revision = Math.max(revision, await propose([leaderAddress, ...controls], 5000));
		}
	}));
	const restarted = [...group.addresses.keys()].find(hostId => hostId !== leader)!;
	const tookMs: number[] = [];
	for (let round = 0; round < 5; round++) {
		await group.kill(restarted);
		const startedAtMs = performance.now();
		group.start(restarted);
		for (;;) {
			const state = await group.readiness(restarted);
			if (state?.isReady && state.revision >= revision) {
				break;
			}

			await delay(10);
		}

		tookMs.push(Math.round(performance.now() - startedAtMs));
	}

	return tookMs;
};

const measureCommits = async (): Promise<{commitsPerSecond: number; fsyncsPerCommit: number; p50Ms: number; p99Ms: number}> => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-bench-'));
	const members = new Map<string, string>();
	const voters = ['c1', 'c2', 'c3'];
	const nodes = await Promise.all(voters.map(async selfId => createControlNode({
		selfId, folder: path.join(folder, selfId), members, voters,
	})));
	await waitUntil('a leader is elected', async () => nodes.some(node => node.isLeader()));
	const leader = nodes.find(node => node.isLeader())!;
	const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
	const syncsBefore = leader.syncCount();
	const untilMs = performance.now() + (commitSeconds * 1000);
	let commits = 0;
	await Promise.all(Array.from({length: inFlight}, async () => {
		while (performance.now() < untilMs) {
			const startedAtMs = performance.now();
			await propose([leader.address], 5000);
			histogram.recordValue(Math.max(1, Math.round(performance.now() - startedAtMs)));
			commits++;
		}
	}));
	const syncs = leader.syncCount() - syncsBefore;
	await Promise.all(nodes.map(async node => node.close()));
	await rm(folder, {recursive: true, force: true});
	return {
		commitsPerSecond: Math.round(commits / commitSeconds), fsyncsPerCommit: Number((syncs / commits).toFixed(4)),
		p50Ms: histogram.getValueAtPercentile(50), p99Ms: histogram.getValueAtPercentile(99),
	};
};

/** Sends commands continuously; returns the longest time without an accepted command around the signal to the leader. */
const measureGap = async (group: ControlProcesses, signal: 'SIGTERM' | 'SIGKILL'): Promise<number> => {
	const leader = await group.leader();
	const others = [...group.addresses].filter(([hostId]) => hostId !== leader).map(([, address]) => address);
	const acceptedAtMs: number[] = [];
	let isOver = false;
	const proposeRepeatedly = async (): Promise<void> => {
		await propose(others);
		acceptedAtMs.push(performance.now());
		return isOver ? undefined : proposeRepeatedly();
	};

	const proposers = Promise.all(Array.from({length: gapProposers}, proposeRepeatedly));
	await delay(gapMarginMs);
	await group.terminate(leader, signal);
	await propose(others);
	await delay(gapMarginMs);
	isOver = true;
	await proposers;
	group.start(leader);
	await waitUntil('the former leader is ready again', async () => (await group.readiness(leader))?.isReady ?? false);
	return Math.round(Math.max(...acceptedAtMs.slice(1).map((atMs, position) => atMs - acceptedAtMs[position]!)));
};

/** Alternates between the signals, so that both are measured under the same load of the machine. */
const measureStops = async (group: ControlProcesses): Promise<{SIGTERM: number[]; SIGKILL: number[]}> => {
	const gaps: {SIGTERM: number[]; SIGKILL: number[]} = {SIGTERM: [], SIGKILL: []};
	for (let round = 0; round < kills; round++) {
		for (const signal of ['SIGTERM', 'SIGKILL'] as const) {
			gaps[signal].push(await measureGap(group, signal));
		}
	}

	return gaps;
};

type Measurement = (group: ControlProcesses) => Promise<Record<string, unknown>>;

const parts: Record<string, Measurement> = {
	async failover(group) {
		const {p50, worst, all} = await measureFailover(group);
		console.log('failover', all);
		return {kills, failoverMs: {p50, worst}};
	},
	async stop(group) {
		const gaps = await measureStops(group);
		console.log('without an accepted command', gaps);
		return {
			stops: kills,
			withoutAcceptedMs: Object.fromEntries(Object.entries(gaps).map(([signal, all]) => [signal, {p50: percentile(all, 0.5), worst: Math.max(...all)}])),
		};
	},
	async inForce(group) {
		const {histogram, bytesPerHostPerChange} = await measureInForce(group);
		return {
			hosts, changes, inForceP50Ms: histogram.getValueAtPercentile(50), inForceP99Ms: histogram.getValueAtPercentile(99), bytesPerHostPerChange,
		};
	},
	async restart(group) {
		const all = await measureRestart(group);
		console.log('restarts', all);
		return {restartChanges, restartMs: Math.max(...all)};
	},
	commits: measureCommits,
};

/**
 * Measures control in isolation: loss of the leader, stopping the leader, propagation of
 * a change to all hosts, a restart after many changes, and group commit. `--parts`
 * selects some of them.
 */
export const measureControl = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const {values} = parseArgs({args: [...flags], options: {parts: {type: 'string', default: Object.keys(parts).join(',')}}});
	const group = await startControlProcesses(3);
	try {
		let result: Record<string, unknown> = {bench: 'control'};
		for (const name of values.parts.split(',')) {
			result = {...result, ...await parts[name]!(group)};
		}

		return result;
	} finally {
		await group.close();
	}
};
