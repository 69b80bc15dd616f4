import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import type {RunLimits} from '@bitternpaddle/coordination';
import {
	createFakeEngine, createFakeOrigin, createFakeService, createHistory, type FakeEngine, type FakeOrigin, type FakeService, type History,
} from '@bitternpaddle/test-support';
import type {Logger} from '@bitternpaddle/transport';
import {createAgentNode, type AgentNode, type AgentNodeOptions} from '../../agent/create-agent-node.js';
import {createControlNode, type ControlNode} from '../../control/create-control-node.js';
import {createEntryNode, type EntryNode} from '../../entry/create-entry-node.js';
import {cascadiaZones, randomWeights, type ZoneLocation} from '../create-dev-cluster.js';
import type {DeploymentService} from '../deployments.js';
import {anyNode, createLinks, type Links} from './links.js';
import {createNodeHandle, type NodeHandle} from './node-handle.js';

export type FailureClusterOptions = {
	/** @default 3 */
	readonly controls?: number;
	/** @default 2 */
	readonly entries?: number;
	/** Endpoints with a model engine. @default 4 */
	readonly engines?: number;
	/** Host ids are numbered across all services. @default `engines` workers of bp-writers, and the ledger */
	readonly services?: readonly DeploymentService[];
	/** One-way latency of every link between nodes. @default 0 */
	readonly latencyMs?: number;
	/** Availability zones, to which endpoints are assigned in turn. @default cascadiaZones */
	readonly zoneLocations?: readonly ZoneLocation[];
	/** @default 64 * 1024 */
	readonly weightsBytes?: number;
	/** @default 8 * 1024 */
	readonly chunkSizeBytes?: number;
	/** @default 1 */
	readonly tokenMs?: number;
	/** How long a host may act on its configuration without a message from control. @default the default of control hosts */
	readonly leaseMs?: number;
	/** @default 5000 */
	readonly hostLossMs?: number;
	/** Default deadline of a call at an entry. @default 2000 */
	readonly deadlineMs?: number;
	/** When request gates terminate runs whose endpoint sends no data or whose answer nobody reads. @default {endpointIdleMs: 1500, unattendedMs: 1000} */
	readonly limits?: RunLimits;
	/** Options of the agents for weights that differ from the defaults. */
	readonly weights?: Pick<AgentNodeOptions, 'engineCheckMs' | 'keepMs' | 'originCopies' | 'storeAddress' | 'transferLimits'>;
	/** Whether engines reject orders with an old fencing number. @default true */
	readonly checksFencing?: boolean;
	readonly logger?: Logger;
};

/** Real nodes in one process, with a relay on every link and a shared history of events. */
export type FailureCluster = {
	readonly history: History;
	readonly controls: ReadonlyArray<NodeHandle<ControlNode>>;
	readonly entries: ReadonlyArray<NodeHandle<EntryNode>>;
	/** The last one is the agent of the ledger. */
	readonly agents: ReadonlyArray<NodeHandle<AgentNode>>;
	/** By host id. */
	readonly engines: ReadonlyMap<string, FakeEngine>;
	readonly ledger: FakeService;
	readonly origin: FakeOrigin;
	readonly links: Links;
	/** Two versions published at the origin. */
	readonly manifests: ReadonlyArray<{readonly manifestId: string; readonly digest: string}>;
	readonly adminToken: string;
	/** Records the configuration that each running host acts on. */
	sampleHosts(): void;
	close(): Promise<void>;
};

const adminToken = 'failure-admin';

type Context = Required<Omit<FailureClusterOptions, 'leaseMs' | 'logger'>> & {
	readonly leaseMs?: number;
	readonly logger?: Logger;
	readonly folder: string;
	readonly links: Links;
	readonly history: History;
	readonly controlIds: readonly string[];
	readonly originAddress: string;
};

const idsOf = (prefix: string, count: number): string[] => Array.from({length: count}, (_, index) => `${prefix}${index + 1}`);

const addressesOfControls = async ({links, controlIds}: Context, from: string): Promise<string[]> => Promise.all(controlIds.map(async to => links.addressOf(from, to)));

const createControlHandle = async (context: Context, selfId: string): Promise<NodeHandle<ControlNode>> => {
	const {links, controlIds, folder, leaseMs, hostLossMs, logger} = context;
	const others = controlIds.filter(id => id !== selfId);
	const addresses = await Promise.all(others.map(async to => [to, await links.addressOf(selfId, to)] as const));
	return createNodeHandle({
		nodeId: selfId, links,
		start: async () => createControlNode({
			selfId, folder: path.join(folder, selfId), members: new Map(addresses), voters: controlIds, leaseMs, hostLossMs, logger,
		}),
		stop: async node => node.stop(),
		kill: async node => node.close(),
	});
};

const createEntryHandle = async (context: Context, entryId: string): Promise<NodeHandle<EntryNode>> => {
	const controls = await addressesOfControls(context, entryId);
	return createNodeHandle({
		nodeId: entryId, links: context.links,
		start: async () => createEntryNode({
			entryId, controls, adminTokens: [{role: 'administer', token: adminToken}], defaultDeadlineMs: context.deadlineMs, logger: context.logger,
		}),
		stop: async node => node.stop(),
		kill: async node => node.kill(),
	});
};

type EndpointOptions = Pick<AgentNodeOptions, 'hostId' | 'serviceId' | 'provider' | 'kind' | 'endpointAddress'> & {readonly location: ZoneLocation};

const createAgentHandle = async (context: Context, endpoint: EndpointOptions): Promise<NodeHandle<AgentNode>> => {
	const {links, folder, originAddress, limits, weights, logger} = context;
	const {location, ...options} = endpoint;
	const controls = await addressesOfControls(context, options.hostId);
	const announcedAddress = await links.addressOf(anyNode, options.hostId);
	return createNodeHandle({
		nodeId: options.hostId, links,
		start: async () => createAgentNode({
			...options, ...location, ...weights, controls, originAddress, announcedAddress, folder: path.join(folder, options.hostId), limits, logger,
		}),
		stop: async node => node.stop(),
		kill: async node => node.kill(),
	});
};

type Endpoints = {readonly engines: Map<string, FakeEngine>; readonly ledger: FakeService; readonly agents: Array<NodeHandle<AgentNode>>};

const createEndpoints = async (context: Context): Promise<Endpoints> => {
	const {history, zoneLocations, tokenMs, checksFencing} = context;
	const engines = new Map<string, FakeEngine>();
	const agents: Array<NodeHandle<AgentNode>> = [];
	let ledger: FakeService | undefined;
	const workers = context.services.flatMap(service => Array.from({length: service.workers}, () => service));
	for (const [index, {serviceId, kind, provider}] of workers.entries()) {
		const hostId = `h${index + 1}`;
		const recordTo = {history, hostId};
		let endpoint: FakeEngine | FakeService;
		if (kind === 'engine') {
			endpoint = await createFakeEngine({tokenMs, checksFencing, recordTo});
			engines.set(hostId, endpoint);
		} else {
			endpoint = await createFakeService({recordTo});
			ledger = endpoint;
		}

		agents.push(await createAgentHandle(context, {
			hostId, serviceId, kind, provider, endpointAddress: endpoint.address, location: zoneLocations[index % zoneLocations.length]!,
		}));
	}

	if (ledger === undefined) {
		throw new Error('a failure cluster needs a plain service');
	}

	return {engines, ledger, agents};
};

const defaultServices = (engines: number): DeploymentService[] => [
	{
		serviceId: 'bp-writers', kind: 'engine', workers: engines, provider: 'new',
	},
	{
		serviceId: 'ledger', kind: 'plain', workers: 1, provider: 'new',
	},
];

export const createFailureCluster = async (options: FailureClusterOptions = {}): Promise<FailureCluster> => {
	const {controls: controlCount = 3, weightsBytes = 64 * 1024, chunkSizeBytes = 8 * 1024} = options;
	const origin = await createFakeOrigin();
	const published = [
		await origin.publish(randomWeights(1, weightsBytes), chunkSizeBytes),
		await origin.publish(randomWeights(2, weightsBytes), chunkSizeBytes),
	];
	const context: Context = {
		entries: 2, engines: 4, latencyMs: 0, zoneLocations: cascadiaZones, tokenMs: 1, hostLossMs: 5000, deadlineMs: 2000, limits: {endpointIdleMs: 1500, unattendedMs: 1000},
		weights: {}, checksFencing: true, ...options,
		controls: controlCount, weightsBytes, chunkSizeBytes, folder: await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-failure-')),
		services: options.services ?? defaultServices(options.engines ?? 4),
		links: createLinks({latencyMs: options.latencyMs}), history: createHistory(),
		controlIds: idsOf('c', controlCount), originAddress: origin.address,
	};
	const {links, history, folder} = context;
	const controls = await Promise.all(context.controlIds.map(async id => createControlHandle(context, id)));
	const entries = await Promise.all(idsOf('e', context.entries).map(async id => createEntryHandle(context, id)));
	const {engines, ledger, agents} = await createEndpoints(context);
	const nodes = [...controls, ...entries, ...agents];
	return {
		history, controls, entries, agents, engines, ledger, origin, links, adminToken,
		manifests: published.map(({manifestId, manifest}) => ({manifestId, digest: manifest.wholeDigest})),
		sampleHosts() {
			for (const handle of [...entries, ...agents]) {
				const inForce = handle.node()?.inForce();
				if (inForce !== undefined) {
					history.record({
						type: 'hostSampled', hostId: handle.nodeId, revision: inForce.revision, digest: inForce.digest, isInService: inForce.hasLease,
					});
				}
			}
		},
		async close() {
			await Promise.all(nodes.map(async handle => handle.kill()));
			await Promise.all([...engines.values(), ledger, origin].map(async fake => fake.close()));
			links.close();
			await rm(folder, {recursive: true, force: true});
		},
	};
};
