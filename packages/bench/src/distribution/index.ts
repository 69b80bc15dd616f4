import process from 'node:process';
import {createAgentPolicy} from './agent-policy.js';
import {createRandomSwarm} from './random-policy.js';
import {floorMs, totalChunks, type RunOptions} from './scenario.js';
import {createOriginOnly, createTree} from './static-policies.js';
import {runSwarm, type CreatePolicy, type RunResult} from './swarm-run.js';

export type DistributionRow = {
	readonly policy: string;
	readonly hosts: number;
	readonly link: RunOptions['mode'];
	readonly scenario: RunOptions['scenario'];
	readonly originBudgetCopies: number;
	/** Time until half of the hosts had the version, relative to the lower bound; `null` if that share never had it. */
	readonly p50OverFloor: number | null;
	readonly p99OverFloor: number | null;
	readonly allOverFloor: number | null;
	readonly originCopies: number;
	/** Virtual seconds until all running hosts had the version; `null` if some never had it. */
	readonly allSeconds: number | null;
	readonly originGigabytes: number;
	/** Announcements of chunks per chunk and host. */
	readonly announcementsPerChunk: number;
	readonly chosen: boolean;
};

const policies: Record<string, CreatePolicy> = {
	chosen: createAgentPolicy,
	'random swarm': createRandomSwarm,
	'binary tree': createTree(2),
	chain: createTree(1),
	'origin-only': createOriginOnly,
};

/** With more hosts, requests of the random swarm to busy neighbours take too long to simulate; then it runs only if `--policies` names it. */
const randomSwarmHosts = 256;

const defaultSeed = 20_261;

const round = (value: number): number | null => Number.isFinite(value) ? Math.round(value * 1000) / 1000 : null;

/** Returns the lower bound of the transfer time. With shared links, every byte that a host receives from another host occupies two links. */
const lowerBoundMs = ({mode, hosts}: RunOptions, originCopies: number): number => mode === 'shared'
	? Math.max(floorMs, ((2 * hosts) - originCopies) * floorMs / hosts)
	: floorMs;

const toRow = (policy: string, options: RunOptions, {doneAtMs, originCopies, originBytes, announcements}: RunResult): DistributionRow => {
	const sorted = doneAtMs.toSorted((a, b) => a - b);
	const quantileMs = (share: number): number => sorted[Math.ceil(sorted.length * share) - 1]!;
	const overFloor = (share: number): number | null => round(quantileMs(share) / lowerBoundMs(options, originCopies));
	return {
		policy, hosts: options.hosts, link: options.mode, scenario: options.scenario, originBudgetCopies: options.originCopies,
		p50OverFloor: overFloor(0.5), p99OverFloor: overFloor(0.99), allOverFloor: overFloor(1), originCopies: round(originCopies)!,
		allSeconds: round(quantileMs(1) / 1000), originGigabytes: round(originBytes / 1e9)!,
		announcementsPerChunk: round(announcements / options.hosts / totalChunks)!, chosen: policy === 'chosen',
	};
};

const listFlag = (flags: readonly string[], name: string, defaultText: string): string[] => {
	const prefix = `--${name}=`;
	return (flags.find(flag => flag.startsWith(prefix))?.slice(prefix.length) ?? defaultText).split(',');
};

/**
 * Simulates the agents' own decisions over modelled links in virtual time. Flags:
 * `--hosts=64,256,1500`, `--links=duplex,shared`, `--scenarios=calm,faults`,
 * `--policies=...`, `--budgets=1,4` (only the chosen policy has a budget),
 * `--seed=N`.
 */
export const measureDistribution = async (flags: readonly string[]): Promise<Record<string, unknown>> => {
	const seed = Number(listFlag(flags, 'seed', String(defaultSeed))[0]);
	const rows: DistributionRow[] = [];
	process.stdout.write(`seed ${seed}\n`);
	for (const hosts of listFlag(flags, 'hosts', '64,256,1500').map(Number)) {
		const defaultPolicies = Object.keys(policies).filter(policy => policy !== 'random swarm' || hosts <= randomSwarmHosts);
		for (const policy of listFlag(flags, 'policies', defaultPolicies.join(','))) {
			for (const options of listRuns(flags, policy, {hosts, seed})) {
				rows.push(measureRow(policy, options));
			}
		}
	}

	return {bench: 'distribution', seed, rows};
};

/** Lists the runs of a policy; only the agents' policy supports a budget of origin copies. */
const listRuns = (flags: readonly string[], policy: string, common: {hosts: number; seed: number}): RunOptions[] => {
	const budgets = policy === 'chosen' ? listFlag(flags, 'budgets', '1,4').map(Number) : [1];
	const modes = listFlag(flags, 'links', 'duplex,shared') as Array<RunOptions['mode']>;
	const scenarios = listFlag(flags, 'scenarios', 'calm,faults') as Array<RunOptions['scenario']>;
	return budgets.flatMap(originCopies => modes.flatMap(mode => scenarios.map(scenario => ({
		...common, mode, scenario, originCopies,
	}))));
};

const measureRow = (policy: string, options: RunOptions): DistributionRow => {
	const createPolicy = policies[policy];
	if (createPolicy === undefined) {
		throw new Error(`policy is "${policy}": expected one of ${Object.keys(policies).join(', ')}`);
	}

	const startedAtMs = performance.now();
	const row = toRow(policy, options, runSwarm(options, createPolicy));
	process.stdout.write(`${JSON.stringify(row)} (took ${Math.round((performance.now() - startedAtMs) / 100) / 10} s)\n`);
	return row;
};
