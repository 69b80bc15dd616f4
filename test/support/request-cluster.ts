import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {
	createAgentNode, createControlNode, createEntryNode, postJson, sendLine, waitUntil, type AgentNode, type ClientAnswer, type ControlNode, type EntryNode,
} from '@bitternpaddle/daemon';
import {
	createFakeEngine, createFakeOrigin, createFakeService, createRelay, type FakeEngine, type FakeOrigin, type FakeService, type Relay,
} from '@bitternpaddle/test-support';
import type {Test} from 'tap';

/** Timeouts that are short enough for a test and far longer than the steps that they bound. */
export const suspectMs = 300;
const tickMs = 50;
const unattendedMs = 600;

export type RequestClusterOptions = {
	/** @default 0 */
	readonly engines?: number;
	/** Plain services whose calls must not be repeated. @default 0 */
	readonly ledgers?: number;
	/** @default 1 */
	readonly entries?: number;
	/** @default 1 */
	readonly controls?: number;
	/** Zones of the engines, in turn. @default ['tacoma-hall'] */
	readonly zoneIds?: readonly string[];
	/** How long an endpoint may send no data. @default 1500 */
	readonly endpointIdleMs?: number;
};

/** One endpoint with its agent, which is reached through a relay that can fail. */
export type ServedEndpoint<Endpoint> = {
	readonly endpoint: Endpoint;
	readonly relay: Relay;
	agent: AgentNode;
	/** Kills the agent and starts a new one without the old one's state. */
	restart(): Promise<void>;
};

export type RequestCluster = {
	readonly controls: ControlNode[];
	readonly entries: EntryNode[];
	/** Between the first entry and the control host. */
	readonly controlRelay: Relay;
	readonly engines: Array<ServedEndpoint<FakeEngine>>;
	readonly ledgers: Array<ServedEndpoint<FakeService>>;
	readonly origin: FakeOrigin;
	run(line: string): Promise<void>;
	query(line: string): Promise<Array<Record<string, unknown>>>;
	/** Loads the version with that number on all engines. */
	load(version: 1 | 2): Promise<void>;
	chat(options: {
		content: string; entry?: number; stream?: boolean; maxTokens?: number; headers?: Record<string, string>;
		/** Contents of the messages before. @default none */
		context?: readonly string[];
	}): Promise<ClientAnswer>;
	book(key: string, options?: {entry?: number; body?: unknown; headers?: Record<string, string>}): Promise<ClientAnswer>;
};

type Closable = {readonly address: string; close(): Promise<void>};

const adminToken = 'test-admin';
const teamKey = 'test-key';

/** Creates a small system whose links between entries and agents can be made to fail. */
export const createRequestCluster = async (t: Test, options: RequestClusterOptions = {}): Promise<RequestCluster> => {
	const {
		engines: engineCount = 0, ledgers: ledgerCount = 0, entries: entryCount = 1, controls: controlCount = 1, zoneIds = ['tacoma-hall'], endpointIdleMs = 1500,
	} = options;
	const limits = {endpointIdleMs, unattendedMs};
	const folder = await mkdtemp(path.join(os.tmpdir(), 'bitternpaddle-test-'));
	const closers: Array<() => unknown> = [];
	t.teardown(async () => {
		for (const close of closers.toReversed()) {
			await close();
		}

		await rm(folder, {recursive: true, force: true});
	});
	const origin = await createFakeOrigin();
	closers.push(async () => origin.close());
	const manifests = [
		await origin.publish(new Uint8Array(100_000).fill(1), 65_536),
		await origin.publish(new Uint8Array(100_000).fill(2), 65_536),
	];
	const members = new Map<string, string>();
	const voters = Array.from({length: controlCount}, (_, index) => `control-${index + 1}`);
	const controls = await Promise.all(voters.map(async selfId => createControlNode({
		selfId, folder: path.join(folder, selfId), members, voters,
	})));
	closers.push(async () => Promise.all(controls.map(async control => control.close())));
	const controlAddresses = controls.map(control => control.address);
	const controlRelay = await createRelay({target: controlAddresses[0]!});
	closers.push(() => {
		controlRelay.close();
	});
	const entries = await Promise.all(Array.from({length: entryCount}, async (_, index) => createEntryNode({
		entryId: `entry-${index + 1}`, controls: index === 0 && controlCount === 1 ? [controlRelay.address] : controlAddresses,
		adminTokens: [{role: 'administer', token: adminToken}], suspectMs,
	})));
	closers.push(async () => Promise.all(entries.map(async entry => entry.kill())));

	const serveEndpoint = async <Endpoint extends Closable>(hostId: string, kind: 'engine' | 'plain', endpoint: Endpoint, zoneId = 'tacoma-hall'): Promise<ServedEndpoint<Endpoint>> => {
		const relay = await createRelay();
		const start = async (): Promise<AgentNode> => {
			const agent = await createAgentNode({
				hostId, zoneId, regionId: 'puget', serviceId: kind === 'plain' ? 'ledger' : 'bp-writers', provider: 'new', kind, endpointAddress: endpoint.address,
				controls: controlAddresses, originAddress: origin.address, folder: path.join(folder, hostId), announcedAddress: relay.address, limits, tickMs,
			});
			relay.setTarget(agent.address);
			return agent;
		};

		const created: ServedEndpoint<Endpoint> = {
			endpoint, relay, agent: await start(),
			async restart() {
				await created.agent.kill();
				created.agent = await start();
			},
		};
		closers.push(async () => {
			await created.agent.kill();
			relay.close();
			await endpoint.close();
		});
		return created;
	};

	const engines = await Promise.all(Array.from({length: engineCount}, async (_, index) => serveEndpoint(`h${index + 1}`, 'engine', await createFakeEngine(), zoneIds[index % zoneIds.length])));
	const ledgers = await Promise.all(Array.from({length: ledgerCount}, async (_, index) => serveEndpoint(`ledger-${index + 1}`, 'plain', await createFakeService())));

	const admin = {address: entries.at(-1)!.address, token: adminToken};
	let commandCount = 0;
	const run = async (line: string): Promise<void> => {
		const commandId = `${commandCount++} ${line}`;
		await waitUntil(line, async () => (await sendLine({...admin, line, commandId})).body.type === 'accepted');
	};

	const query = async (line: string): Promise<Array<Record<string, unknown>>> => (await sendLine({...admin, line})).body.rows ?? [];
	const waitUntilInForce = async (): Promise<void> => waitUntil('in force on all hosts', async () => (await query('show revision'))[0]?.missing === '');

	await waitUntil('the agents joined', async () => (await query('show hosts where role = agent')).length === engineCount + ledgerCount);
	await run(`create team marshals key ${teamKey}`);
	if (engineCount > 0) {
		for (const line of [
			'create model pitch-desk',
			`create version pitch-desk:v1 from manifest ${manifests[0]!.manifestId}`,
			`create version pitch-desk:v2 from manifest ${manifests[1]!.manifestId}`,
			`create fleet fair provider new for pitch-desk:v1 replicas ${engineCount}`,
		]) {
			await run(line);
		}
	}

	await waitUntilInForce();
	return {
		controls, entries, controlRelay, engines, ledgers, origin, run, query,
		async load(version) {
			await run(`load pitch-desk:v${version} on fleet fair`);
			await waitUntil('the replicas are ready', async () => (await query(`show replicas where ready = true and version = pitch-desk:v${version}`)).length === engineCount);
			await waitUntilInForce();
		},
		chat: async ({content, entry = 0, stream = true, maxTokens = 10, headers, context = []}) => postJson({
			address: entries[entry]!.address, token: teamKey, path: '/v1/chat/completions', headers,
			body: {
				model: 'pitch-desk', stream, max_tokens: maxTokens, messages: [...context, content].map(each => ({role: 'user', content: each})),
			},
		}),
		book: async (key, {entry = 0, body = {pitch: 12}, headers} = {}) => postJson({
			address: entries[entry]!.address, token: teamKey, path: '/services/ledger/bookings', body, headers: {'idempotency-key': key, ...headers},
		}),
	};
};

/** Whether a stream is complete, by the end marker of the fake engines. */
export const isCompleteStream = ({status, text}: ClientAnswer): boolean => status === 200 && text.endsWith('data: [DONE]\n\n');
