import {claimLimits} from '@bitternpaddle/state';
import {
	changesPerSecond, targetDeployment, limits, membershipEventsPerSecond, deploymentVariants, type VariantName,
} from './target-deployment.js';
import type {SlopeName} from './definitions.js';
import type {Slope} from './slope.js';

/** One figure for the target deployment, computed from slopes. */
export type Estimate = {
	readonly role: 'control leader' | 'control observer' | 'entry' | 'agent';
	readonly what: string;
	readonly unit: string;
	/** `null` if the requirements set no limit for this role. */
	readonly limit: number | null;
	/** The formula, with the names of the slopes. */
	readonly from: string;
	readonly values: Readonly<Record<VariantName, number>>;
};

export type Slopes = Readonly<Record<SlopeName, Slope>>;

/** How many times per second the leader reconciles reports with the catalog. */
const reconciliationsPerSecond = 5;
const tokensPerRequest = targetDeployment.tokensPerSecond / targetDeployment.requestsPerSecond;

type Size = {
	readonly agents: number;
	readonly watchers: number;
	/** Watching hosts per control host, distributed evenly over all control hosts. */
	readonly watchersEach: number;
	readonly changes: number;
};

const sizeOf = (name: VariantName): Size => {
	const {agents} = deploymentVariants[name];
	const watchers = agents + targetDeployment.nodes;
	return {
		agents, watchers, watchersEach: watchers / targetDeployment.controlHosts, changes: changesPerSecond(deploymentVariants[name]),
	};
};

const valueAt = ({slope, intercept}: Slope, x: number): number => intercept + (slope * x);

/** Clamps a cost to zero: a negative slope means that the cost was too small to be distinguished from zero in the run. */
const costOf = ({slope}: Slope): number => Math.max(0, slope);

type Rule = Omit<Estimate, 'values'> & {readonly value: (slopes: Slopes, size: Size) => number};

/** CPU time that one host spends on membership changes in the catalog, in ms/s averaged over a day. */
const membershipMsPerSecond = (slopes: Slopes, {agents}: Size): number => membershipEventsPerSecond
	* (valueAt(slopes['host.leave.processor'], agents) + valueAt(slopes['host.join.processor'], agents));

const controlRules: readonly Rule[] = [
	{
		role: 'control leader', what: 'processor, ordinary second', unit: 'ms/s', limit: null,
		from: 'member.processor at 16 others + watch.processor × own watchers + fold.processor × all others + 5 × reconcile.processor + change.processor × changes/s',
		value: (slopes, {agents, watchers, watchersEach, changes}) => valueAt(slopes['control.member.processor'], targetDeployment.controlHosts - 1)
			+ (slopes['control.watch.processor'].slope * watchersEach)
			+ (costOf(slopes['control.fold.processor']) * (watchers - watchersEach))
			+ (reconciliationsPerSecond * valueAt(slopes['control.reconcile.processor'], agents))
			+ (changes * slopes['control.change.processor'].slope * watchersEach),
	},
	{
		role: 'control leader', what: 'bytes', unit: 'KB/s', limit: null,
		from: 'member.bytes at 16 others + watch.bytes × own watchers + fold.bytes × all others + change.bytes × own watchers × changes/s',
		value: (slopes, {watchers, watchersEach, changes}) => (valueAt(slopes['control.member.bytes'], targetDeployment.controlHosts - 1)
			+ (slopes['control.watch.bytes'].slope * watchersEach)
			+ (slopes['control.fold.bytes'].slope * (watchers - watchersEach))
			+ (slopes['control.change.bytes'].slope * watchersEach * changes)) / 1024,
	},
	{
		role: 'control leader', what: 'memory: process, watchers, catalog, kept results', unit: 'MB private', limit: null,
		from: 'watch.memory at own watchers + 2 × host.memory × agents + result.memory × 20,000',
		value: (slopes, {agents, watchersEach}) => (valueAt(slopes['control.watch.memory'], watchersEach)
			+ (2 * slopes['control.host.memory'].slope * agents) + (slopes['control.result.memory'].slope * 20_000)) / 1024 / 1024,
	},
	{
		role: 'control leader', what: 'memory of claims at their bound', unit: 'MB of heap', limit: null, from: 'claim.memory × 200,000',
		value: slopes => slopes['control.claim.memory'].slope * claimLimits.maxClaims / 1024 / 1024,
	},
	{
		role: 'control leader', what: 'log', unit: 'MB a day', limit: null, from: 'log.size × changes a day',
		value: (slopes, {changes}) => slopes['control.log.size'].slope * changes * 86_400 / 1024 / 1024,
	},
	{
		role: 'control leader', what: 'stall by a snapshot', unit: 'ms', limit: null, from: 'snapshot.stall at agents',
		value: (slopes, {agents}) => valueAt(slopes['control.snapshot.stall'], agents),
	},
	{
		role: 'control observer', what: 'processor', unit: 'ms/s', limit: null, from: 'watch.processor × own watchers + change.processor × own watchers × changes/s',
		value: (slopes, {watchersEach, changes}) => (slopes['control.watch.processor'].slope + (slopes['control.change.processor'].slope * changes)) * watchersEach,
	},
	{
		role: 'control observer', what: 'bytes', unit: 'KB/s', limit: null, from: '(watch.bytes + fold.bytes + change.bytes × changes/s) × own watchers',
		value: (slopes, {watchersEach, changes}) => (slopes['control.watch.bytes'].slope + slopes['control.fold.bytes'].slope
			+ (slopes['control.change.bytes'].slope * changes)) * watchersEach / 1024,
	},
	{
		role: 'control observer', what: 'a change, from order to its last watcher', unit: 'ms', limit: limits.changeInForceMs, from: 'change.latency at own watchers',
		value: (slopes, {watchersEach}) => valueAt(slopes['control.change.latency'], watchersEach),
	},
];

const lossOfOneIn = (share: number) => (slopes: Slopes, {agents}: Size): number => agents / share * valueAt(slopes['host.leave.processor'], agents);

const hostRules = (role: 'entry' | 'agent'): Rule[] => [
	{
		role, what: 'processor for control', unit: 'ms/s', limit: limits.processorMsPerSecond,
		from: role === 'entry'
			? 'entry.idle.processor + (host.leave + host.join) × lost or restarted hosts/s + entry.index.processor × changes/s'
			: 'agent.idle.processor + (host.leave + host.join) × lost or restarted hosts/s',
		value: (slopes, size) => slopes[`${role}.idle.processor`].slope + membershipMsPerSecond(slopes, size)
			+ (role === 'entry' ? size.changes * valueAt(slopes['entry.index.processor'], size.agents) : 0),
	},
	{
		role, what: 'bytes for control', unit: 'KB/s', limit: limits.bytesPerSecond / 1024, from: `${role}.idle.bytes + change.bytes × changes/s`,
		value: (slopes, {changes}) => (slopes[`${role}.idle.bytes`].slope + (slopes['control.change.bytes'].slope * changes)) / 1024,
	},
	{
		role, what: 'memory, whole process', unit: 'MB private', limit: limits.memoryBytes / 1024 / 1024, from: `${role}.catalog.memory at agents`,
		value: (slopes, {agents}) => valueAt(slopes[`${role}.catalog.memory`], agents) / 1024 / 1024,
	},
	{
		role, what: 'catalog on the wire after a restart', unit: 'MB', limit: null, from: 'host.catalog.size at agents',
		value: (slopes, {agents}) => valueAt(slopes['host.catalog.size'], agents) / 1024 / 1024,
	},
	{
		role, what: 'burst: a zone is lost', unit: 'ms of processor', limit: limits.changeInForceMs, from: 'host.leave.processor × agents / 31', value: lossOfOneIn(targetDeployment.zones),
	},
	{
		role, what: 'burst: a region is cut off', unit: 'ms of processor', limit: limits.changeInForceMs, from: 'host.leave.processor × agents / 9', value: lossOfOneIn(targetDeployment.regions),
	},
	{
		role, what: 'burst: first load of a fleet of all', unit: 'ms of processor', limit: limits.changeInForceMs, from: 'host.load.processor at agents²',
		value: (slopes, {agents}) => valueAt(slopes['host.load.processor'], (agents / 1000) ** 2),
	},
	{
		role, what: 'requests: processor', unit: '% of a core', limit: 100, from: `${role}.stream.processor at ${tokensPerRequest} tokens × requests/s a process`,
		value: (slopes, {agents}) => valueAt(slopes[`${role}.stream.processor`], tokensPerRequest) * targetDeployment.requestsPerSecond / (role === 'entry' ? targetDeployment.nodes : agents) / 10,
	},
	{
		role, what: 'requests: bytes in and out', unit: 'KB/s', limit: null, from: `${role}.stream.bytes at ${tokensPerRequest} tokens × requests/s a process`,
		value: (slopes, {agents}) => valueAt(slopes[`${role}.stream.bytes`], tokensPerRequest) * targetDeployment.requestsPerSecond / (role === 'entry' ? targetDeployment.nodes : agents) / 1024,
	},
];

const thousandTokensPerEntry = targetDeployment.tokensPerSecond / targetDeployment.nodes / 1000;

/** Includes the agents' part of the path. */
const tokenRules: readonly Rule[] = [
	{
		role: 'entry', what: 'tokens: processor at a node\'s share', unit: '% of a core', limit: 100, from: 'entry.tokens.processor at tokens/s an entry',
		value: slopes => valueAt(slopes['entry.tokens.processor'], thousandTokensPerEntry),
	},
	{
		role: 'entry', what: 'tokens: added to the first token, 95 in 100', unit: 'ms', limit: limits.firstTokenMs, from: 'entry.tokens.first at tokens/s an entry',
		value: slopes => valueAt(slopes['entry.tokens.first'], thousandTokensPerEntry),
	},
	{
		role: 'entry', what: 'tokens: between two, 95 in 100, engine at 20 ms', unit: 'ms', limit: limits.tokenGapMs, from: 'entry.tokens.gap at tokens/s an entry',
		value: slopes => valueAt(slopes['entry.tokens.gap'], thousandTokensPerEntry),
	},
];

/** Chunks per gigabyte of weights, at the chunk size that manifests use. */
const chunksPerGigabyte = 256;

const swarmRules: readonly Rule[] = [
	{
		role: 'agent', what: 'weights: announcements sent for each GB', unit: 'messages', limit: null, from: 'swarm.have.messages at 8 neighbours × 256 chunks',
		value: slopes => valueAt(slopes['swarm.have.messages'], 8) * chunksPerGigabyte,
	},
	{
		role: 'agent', what: 'weights: what 16 neighbours hold, for each GB', unit: 'KB of heap', limit: null, from: 'swarm.have.memory × 16 × 256',
		value: slopes => slopes['swarm.have.memory'].slope * 16 * chunksPerGigabyte / 1024,
	},
	{
		role: 'agent', what: 'weights: manifest for each GB', unit: 'KB', limit: null, from: 'swarm.manifest.size × 256',
		value: slopes => slopes['swarm.manifest.size'].slope * chunksPerGigabyte / 1024,
	},
	{
		role: 'agent', what: 'weights: choosing the chunks of 10 GB', unit: 'ms of processor', limit: null, from: 'swarm.store.processor at 2,560 chunks × 2,560',
		value: slopes => valueAt(slopes['swarm.store.processor'], 10 * chunksPerGigabyte) * 10 * chunksPerGigabyte,
	},
	{
		role: 'agent', what: 'weights: each change of the catalog during a transfer of 10 GB to 1,500 hosts', unit: 'ms of processor', limit: null, from: 'swarm.peers.processor at 2,560 chunks',
		value: slopes => valueAt(slopes['swarm.peers.processor'], 10 * chunksPerGigabyte),
	},
];

export const estimateAll = (slopes: Slopes): Estimate[] => [...controlRules, ...hostRules('entry'), ...tokenRules, ...hostRules('agent'), ...swarmRules]
	.map(({value, ...rule}) => ({
		...rule,
		values: {'agent per host': value(slopes, sizeOf('agent per host')), 'agent per worker': value(slopes, sizeOf('agent per worker'))},
	}));
