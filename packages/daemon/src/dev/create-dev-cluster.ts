import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {createRandom, type AdmissionOptions} from '@bitternpaddle/coordination';
import {
	createFakeEngine, createFakeOrigin, createFakeService, type FakeEngine, type FakeOrigin, type FakeService,
} from '@bitternpaddle/test-support';
import type {Logger} from '@bitternpaddle/transport';
import {createAgentNode, type AgentNode} from '../agent/create-agent-node.js';
import {createControlNode, type ControlNode} from '../control/create-control-node.js';
import type {AdminToken} from '../entry/admin-tokens.js';
import {createEntryNode, type EntryNode} from '../entry/create-entry-node.js';

/** An availability zone of a user deployment and its region. */
export type ZoneLocation = {readonly zoneId: string; readonly regionId: string};

export const cascadiaZones: readonly ZoneLocation[] = [
	{zoneId: 'tacoma-hall', regionId: 'puget'},
	{zoneId: 'salem-hall', regionId: 'willamette'},
	{zoneId: 'spokane-hall', regionId: 'inland'},
];

export type DevClusterOptions = {
	/** @default 3 */
	readonly controls?: number;
	/** @default 2 */
	readonly entries?: number;
	/** Endpoints with a model engine. @default 7 */
	readonly engines?: number;
	/** @default 1024 * 1024 */
	readonly weightsBytes?: number;
	/** @default 64 * 1024 */
	readonly chunkSizeBytes?: number;
	/** First entry's address. @default '127.0.0.1:0' */
	readonly listen?: string;
	readonly adminToken?: string;
	/** Additional administration tokens. @default [] */
	readonly adminTokens?: readonly AdminToken[];
	/** Number of engines, counted from the first, that belong to the provider `old`. @default 0 */
	readonly oldEngines?: number;
	/** Admission limits and queue sizes of the entries. @default {} */
	readonly limits?: AdmissionOptions;
	readonly recordFile?: string;
	readonly logger?: Logger;
};

export type DevCluster = {
	readonly controls: ControlNode[];
	readonly entries: EntryNode[];
	readonly agents: AgentNode[];
	readonly engines: FakeEngine[];
	readonly ledger: FakeService;
	readonly origin: FakeOrigin;
	/** Manifests of two versions that are published at the origin. */
	readonly manifestIds: readonly string[];
	readonly adminToken: string;
	close(): Promise<void>;
};

export const devAdminToken = 'dev-admin';

/**
 * Starts the complete system in one process on loopback: control, entries,
 * agents, fake engines, one plain service whose calls may not be repeated, and
 * an origin.
 */
export const createDevCluster = async (options: DevClusterOptions = {}): Promise<DevCluster> => {
	const {
		controls: controlCount = 3, entries: entryCount = 2, engines: engineCount = 7, weightsBytes = 1024 * 1024, chunkSizeBytes = 64 * 1024,
		listen = '127.0.0.1:0', adminToken = devAdminToken, adminTokens = [], oldEngines = 0, recordFile, limits, logger,
	} = options;
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-dev-'));
	const origin = await createFakeOrigin();
	const published = [
		await origin.publish(randomWeights(1, weightsBytes), chunkSizeBytes),
		await origin.publish(randomWeights(2, weightsBytes), chunkSizeBytes),
	];
	const members = new Map<string, string>();
	const voters = Array.from({length: controlCount}, (_, index) => `control-${index + 1}`);
	const controls = await Promise.all(voters.map(async selfId => createControlNode({
		selfId, folder: path.join(folder, selfId), members, voters, logger, recordFile: selfId === voters[0] ? recordFile : undefined,
	})));
	const controlAddresses = controls.map(control => control.address);
	const entries = await Promise.all(Array.from({length: entryCount}, async (_, index) => createEntryNode({
		entryId: `entry-${index + 1}`, ...cascadiaZones[index % cascadiaZones.length]!, controls: controlAddresses,
		listen: index === 0 ? listen : '127.0.0.1:0', adminTokens: [{role: 'administer', token: adminToken}, ...adminTokens], limits, logger,
	})));
	const engines = await Promise.all(Array.from({length: engineCount}, async () => createFakeEngine()));
	const agents = await Promise.all(engines.map(async (engine, index) => createAgentNode({
		hostId: `h${index + 1}`, ...cascadiaZones[index % cascadiaZones.length]!, serviceId: 'bp-writers', provider: index < oldEngines ? 'old' : 'new', kind: 'engine',
		endpointAddress: engine.address, controls: controlAddresses, originAddress: origin.address, folder: path.join(folder, `h${index + 1}`), logger,
	})));
	const ledger = await createFakeService();
	agents.push(await createAgentNode({
		hostId: `h${engineCount + 1}`, ...cascadiaZones[0]!, serviceId: 'ledger', provider: 'new', kind: 'plain',
		endpointAddress: ledger.address, controls: controlAddresses, originAddress: origin.address, folder: path.join(folder, 'ledger'), logger,
	}));
	return {
		controls, entries, agents, engines, ledger, origin, manifestIds: published.map(({manifestId}) => manifestId), adminToken,
		async close() {
			await Promise.all(entries.map(async entry => entry.kill()));
			await Promise.all(agents.map(async agent => agent.kill()));
			await Promise.all(controls.map(async control => control.close()));
			await Promise.all([...engines, ledger, origin].map(async fake => fake.close()));
			await rm(folder, {recursive: true, force: true});
		},
	};
};

export const randomWeights = (seed: number, sizeBytes: number): Uint8Array => {
	const random = createRandom(seed);
	return Uint8Array.from({length: sizeBytes}, () => random.between(0, 255));
};
