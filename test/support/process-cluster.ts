import path from 'node:path';
import {sendLine, waitUntil, type CommandAnswer} from '@bitternpaddle/daemon';
import {
	createFakeEngine, createFakeOrigin, createFakeService, createHistory, createRelay, freeAddresses, recordCall, testFolder,
	type CallOutcome, type FakeEngine, type FakeService, type History, type Relay,
} from '@bitternpaddle/test-support';
import {readBody, sendHttp} from '@bitternpaddle/transport';
import type {Test} from 'tap';
import {startDaemon, type DaemonProcess} from './daemon-process.js';

export type ProcessClusterOptions = {
	/** @default 3 */
	readonly controls?: number;
	/** @default 2 */
	readonly entries?: number;
	/** Number of model engines, each with an agent. @default 0 */
	readonly engines?: number;
	/** Number of ledgers, whose calls must not be repeated, each with an agent. @default 0 */
	readonly ledgers?: number;
	/** Time per token of the engines. @default 1 */
	readonly tokenMs?: number;
	/** Maps the addresses of the control hosts to those that the first entry connects to, for a link that fails. */
	readonly firstEntryControls?: (addresses: readonly string[]) => Promise<readonly string[]>;
};

export type AddressedProcess = DaemonProcess & {readonly address: string};

/** Every role in separate processes; engines, ledgers and the origin are fakes in the test's process. */
export type ProcessCluster = {
	readonly history: History;
	readonly controls: readonly AddressedProcess[];
	readonly entries: readonly AddressedProcess[];
	readonly engines: ReadonlyArray<{readonly engine: FakeEngine; readonly agent: DaemonProcess}>;
	/** The relay is between the agent and its ledger. */
	readonly ledgers: ReadonlyArray<{readonly service: FakeService; readonly relay: Relay; readonly agent: DaemonProcess}>;
	/** All processes. */
	readonly daemons: readonly DaemonProcess[];
	/** Waits for a control host that reports itself as the leader. */
	leader(): Promise<AddressedProcess>;
	/** Readiness of one control host or entry; `null` if it does not respond. */
	readiness(daemon: AddressedProcess): Promise<Readiness | null>;
	/** Sends one line once, through the entry with that index. */
	send(line: string, entry?: number, commandId?: string): Promise<CommandAnswer>;
	/** Resends one line with the same command id until it is accepted. */
	order(line: string, entry?: number): Promise<number>;
	rows(line: string, entry?: number): Promise<Array<Record<string, unknown>>>;
	/** Loads the first version on all engines, and waits until it is in force on all hosts. */
	load(): Promise<void>;
	stream(callId: string, options: {entry: number; maxTokens: number}): Promise<CallOutcome>;
	book(callId: string, options: {entry: number; key: string; callTimeoutMs?: number}): Promise<CallOutcome>;
};

export type Readiness = {readonly isReady: boolean; readonly role: string; readonly term: number; readonly leaderId: string | null; readonly revision: number};

/** Far longer than any step takes on a busy machine. */
export const stepTimeoutMs = 60_000;
const adminToken = 'test-admin';
const teamKey = 'marshals-key';
const readinessTimeoutMs = 1000;

export const createProcessCluster = async (t: Test, options: ProcessClusterOptions = {}): Promise<ProcessCluster> => {
	const {controls: controlCount = 3, entries: entryCount = 2, engines: engineCount = 0, ledgers: ledgerCount = 0, tokenMs = 1} = options;
	const folder = testFolder(t);
	const history = createHistory();
	const origin = await createFakeOrigin();
	t.teardown(async () => origin.close());
	const {manifestId, manifest} = await origin.publish(new Uint8Array(100_000).fill(7), 65_536);
	const addresses = await freeAddresses(controlCount + entryCount);
	const controlAddresses = addresses.slice(0, controlCount);
	const controlsFlag = (known: readonly string[]): string => known.map((address, index) => `c${index + 1}=${address}`).join(',');
	const controls = controlAddresses.map((address, index) => ({
		address, ...startDaemon(t, {
			roles: 'control', 'host-id': `c${index + 1}`, listen: address, controls: controlsFlag(controlAddresses), 'data-folder': path.join(folder, `c${index + 1}`),
		}),
	}));
	const firstEntryControls = await options.firstEntryControls?.(controlAddresses) ?? controlAddresses;
	const entries = addresses.slice(controlCount).map((address, index) => ({
		address, ...startDaemon(t, {
			roles: 'entry', 'host-id': `e${index + 1}`, listen: address, controls: controlsFlag(index === 0 ? firstEntryControls : controlAddresses), 'admin-tokens': `administer:${adminToken}`,
		}),
	}));
	const startAgent = (hostId: string, flags: Record<string, string>): DaemonProcess => startDaemon(t, {
		roles: 'agent', 'host-id': hostId, controls: controlsFlag(controlAddresses), origin: origin.address, provider: 'new', zone: 'tacoma-hall', region: 'puget',
		'data-folder': path.join(folder, hostId), ...flags,
	});

	const engines = await Promise.all(Array.from({length: engineCount}, async (_, index) => {
		const hostId = `h${index + 1}`;
		const engine = await createFakeEngine({tokenMs, recordTo: {history, hostId}});
		t.teardown(async () => engine.close());
		return {engine, agent: startAgent(hostId, {endpoint: engine.address, service: 'bp-writers'})};
	}));
	const ledgers = await Promise.all(Array.from({length: ledgerCount}, async (_, index) => {
		const hostId = `ledger-${index + 1}`;
		const service = await createFakeService({recordTo: {history, hostId}});
		const relay = await createRelay({target: service.address});
		t.teardown(async () => {
			relay.close();
			await service.close();
		});
		return {service, relay, agent: startAgent(hostId, {endpoint: relay.address, 'endpoint-kind': 'plain', service: 'ledger'})};
	}));

	const readiness = async ({address}: AddressedProcess): Promise<Readiness | null> => {
		try {
			const answer = await sendHttp({
				address, path: '/readyz', idleTimeoutMs: readinessTimeoutMs, agent: false,
			});
			return {...JSON.parse((await readBody(answer)).toString()) as Omit<Readiness, 'isReady'>, isReady: answer.statusCode === 200};
		} catch {
			return null;
		}
	};

	const send = async (line: string, entry = entryCount - 1, commandId?: string): Promise<CommandAnswer> => sendLine({
		address: entries[entry]!.address, token: adminToken, line, commandId, idleTimeoutMs: stepTimeoutMs,
	});

	const rows = async (line: string, entry?: number): Promise<Array<Record<string, unknown>>> => (await send(line, entry).catch(() => null))?.body.rows ?? [];

	const order = async (line: string, entry?: number): Promise<number> => {
		let revision: number | undefined;
		await waitUntil(line, async () => {
			const answer = await send(line, entry, line).catch(() => null);
			revision = answer?.body.revision;
			return answer?.body.type === 'accepted';
		}, {timeoutMs: stepTimeoutMs});
		return revision!;
	};

	const waitUntilInForce = async (): Promise<void> => waitUntil('in force on all hosts', async () => (await rows('show revision'))[0]?.missing === '', {timeoutMs: stepTimeoutMs});

	await waitUntil('every host joined', async () => (await rows('show hosts')).length === entryCount + engineCount + ledgerCount, {timeoutMs: stepTimeoutMs});
	await order(`create team marshals key ${teamKey}`);
	await waitUntilInForce();
	return {
		history, controls, entries, engines, ledgers, readiness, send, order, rows,
		daemons: [...controls, ...entries, ...engines.map(({agent}) => agent), ...ledgers.map(({agent}) => agent)],
		async leader() {
			let found: AddressedProcess | undefined;
			await waitUntil('a control host is the leader', async () => {
				const states = await Promise.all(controls.map(async control => readiness(control)));
				found = controls.find((_, index) => states[index]?.isReady && states[index].role === 'leader');
				return found !== undefined;
			}, {timeoutMs: stepTimeoutMs});
			return found!;
		},
		async load() {
			for (const line of [
				'create model pitch-desk',
				`create version pitch-desk:v1 from manifest ${manifestId}`,
				`create fleet fair provider new for pitch-desk:v1 replicas ${engineCount}`,
				'load pitch-desk:v1 on fleet fair',
			]) {
				await order(line);
			}

			history.record({type: 'versionPublished', versionId: 'pitch-desk:v1', digest: manifest.wholeDigest});
			await waitUntil('the replicas are ready', async () => (await rows('show replicas where ready = true')).length === engineCount, {timeoutMs: stepTimeoutMs});
			await waitUntilInForce();
		},
		stream: async (callId, {entry, maxTokens}) => recordCall({
			history, callId, entryId: `e${entry + 1}`, address: entries[entry]!.address, token: teamKey, callTimeoutMs: stepTimeoutMs,
			target: {
				type: 'model', modelId: 'pitch-desk', isStream: true, maxTokens,
			},
		}),
		book: async (callId, {entry, key, callTimeoutMs = stepTimeoutMs}) => recordCall({
			history, callId, entryId: `e${entry + 1}`, address: entries[entry]!.address, token: teamKey, callTimeoutMs, target: {type: 'service', serviceId: 'ledger', key},
		}),
	};
};
