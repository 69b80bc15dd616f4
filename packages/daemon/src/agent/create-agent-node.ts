import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createRequestGate, type RequestGate, type RunLimits} from '@bitternpaddle/coordination';
import {
	chunkAnnouncementSchema, loadParametersSchema, resolveAttemptParametersSchema, type HostReport, type LoadResult,
} from '@bitternpaddle/protocol';
import {
	announcementSchema, mayServe, versionIdSchema, type Announcement,
} from '@bitternpaddle/state';
import {
	createHttpServer, createRpcServer, rpcPath, sendJson, silentLogger, type Logger, type Metrics, type ServerLimits,
} from '@bitternpaddle/transport';
import {createConfigurationClient, type ConfigurationInForce} from '../host/configuration-client.js';
import {claimDataFolder} from '../host/data-folder.js';
import {createListenerLimitReporter} from '../host/listener-limit-reporter.js';
import {createAdapters} from './adapters.js';
import {answersPrefix, createGateServer, gatePrefix} from './request-gate-server.js';
import {createTransferLinks} from './transfer-links.js';
import {chunksPrefix, createUploadServer} from './upload-server.js';
import {createWeights} from './weights.js';

export type AgentNodeOptions = {
	readonly hostId: string;
	readonly zoneId: string;
	readonly regionId: string;
	readonly serviceId: string;
	readonly provider: string;
	readonly kind: 'engine' | 'plain';
	/** Where the endpoint listens, `ip:port`. */
	readonly endpointAddress: string;
	readonly controls: readonly string[];
	readonly originAddress: string;
	/** The rate-limited weight store, used while the origin fails or refuses requests. */
	readonly storeAddress?: string;
	/** Copies of a version that may be fetched from the origin in total, 1 to 4. @default 1 */
	readonly originCopies?: number;
	/** Maximum bandwidth of transfers in each direction; unlimited by default. */
	readonly transferLimits?: {readonly inBytesPerSecond?: number; readonly outBytesPerSecond?: number};
	/** How long the chunks of a version are retained after it is no longer assigned. */
	readonly keepMs?: number;
	/** How often the engine's loaded weights and adapters are checked. */
	readonly engineCheckMs?: number;
	/** Folder for chunks; its loss is harmless. */
	readonly folder: string;
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Address at which other nodes reach this agent, if it differs from the listening address. @default the listening address */
	readonly announcedAddress?: string;
	/** @default 16 */
	readonly capacity?: number;
	/** When the request gate terminates runs whose endpoint sends no data or whose answer nobody reads. */
	readonly limits?: RunLimits;
	/** How often the request gate sends keep-alives to waiting entries. @default 500 */
	readonly tickMs?: number;
	/** Limits on connections, buffered bytes and timeouts of the HTTP server. @default {} */
	readonly serverLimits?: ServerLimits;
	/** @default none are sent */
	readonly metrics?: Metrics;
	readonly logger?: Logger;
	/** Called when an operator has stopped this host and its running requests have finished. */
	onStopped?(): void;
};

export type AgentNode = {
	readonly hostId: string;
	readonly address: string;
	/** Increases with every start. */
	readonly incarnation: number;
	/** The configuration that this host acts on. */
	inForce(): ConfigurationInForce;
	/** Shuts down gracefully: refuses new requests, finishes the running ones, waits until control has removed the host, and closes. */
	stop(): Promise<void>;
	/** Closes immediately, as in a crash. */
	kill(): Promise<void>;
};

/** Maximum wait for control to remove a leaving host from the configuration. */
const leaveTimeoutMs = 2000;
const leavePollMs = 20;
/** Extra time for entries that receive the removal later than this host. */
const updateGraceMs = 500;

/** Creates the agent, the process that runs next to one endpoint. */
export const createAgentNode = async (options: AgentNodeOptions): Promise<AgentNode> => {
	const {
		hostId, zoneId, regionId, serviceId, provider, kind, endpointAddress, controls, originAddress, storeAddress, folder,
		originCopies = 1, transferLimits = {}, keepMs, engineCheckMs,
		listen = '127.0.0.1:0', capacity = 16, limits, tickMs, serverLimits, logger = silentLogger, metrics, onStopped,
	} = options;
	await claimDataFolder(folder, {role: 'agent', hostId});
	const incarnation = Date.now();
	const gate: RequestGate = createRequestGate({capacity, incarnation});
	const links = createTransferLinks({
		inBytesPerSecond: transferLimits.inBytesPerSecond ?? null, outBytesPerSecond: transferLimits.outBytesPerSecond ?? null,
		hasStore: storeAddress !== undefined, gateLoad: () => ({running: gate.running, capacity: gate.capacity}),
	});
	const idleWaiters = new Set<() => void>();
	let isLeaving = false;
	let isPaused = false;

	const waitUntilIdle = async (): Promise<void> => new Promise(resolve => {
		const check = (): void => {
			if (gate.running === 0) {
				idleWaiters.delete(check);
				resolve();
			}
		};

		idleWaiters.add(check);
		check();
	});

	const updateGate = (): void => {
		const host = configuration.catalog().hosts[hostId];
		gate.isClosing = isLeaving || isPaused || (host !== undefined && !mayServe(host));
	};

	const announcement = (): Announcement => announcementSchema.parse({
		hostId, zoneId, regionId, serviceId, provider, address: options.announcedAddress ?? server.address, capacity, incarnation, kind,
	});

	const report = (): HostReport => ({
		hostId, role: 'agent', address: server.address, revision: configuration.catalog().revision, requestsInFlight: gate.running,
		announcement: announcement(), isLeaving, transfers: [...weights.statuses(), ...adapters.statuses()],
		readyVersionId: versionIdSchema.nullable().parse(weights.loaded()?.versionId ?? null), ...readyAdapters(),
	});

	const readyAdapters = (): Pick<HostReport, 'readyAdapterIds'> => {
		const readyAdapterIds = adapters.readyIds();
		return readyAdapterIds.length === 0 ? {} : {readyAdapterIds};
	};

	const rpc = createRpcServer();
	const server = await createHttpServer({
		listen, limits: serverLimits, onLimit: createListenerLimitReporter('agent', {logger, metrics}),
		async handler(request, response) {
			const url = request.url ?? '';
			if (url.startsWith(`${gatePrefix}/`)) {
				await gateServer.handle(request, response);
			} else if (url.startsWith(`${answersPrefix}/`)) {
				await gateServer.resume(request, response);
			} else if (url === rpcPath) {
				await rpc.serve(request, response);
			} else if (url.startsWith(`${chunksPrefix}/`)) {
				await sendChunk(request, response);
			} else if (url === '/readyz') {
				sendJson(response, gate.isClosing ? 503 : 200, {readyVersionId: weights.loaded()?.versionId ?? null, revision: configuration.catalog().revision});
			} else {
				sendJson(response, 404, {error: {type: 'not_found', message: `${request.method} ${url}`}});
			}
		},
	});

	const weightsOptions = {
		hostId, zoneId, regionId, folder, sources: {origin: originAddress, store: storeAddress ?? null}, originCopies, links, keepMs, engineCheckMs,
		endpointAddress, selfAddress: () => options.announcedAddress ?? server.address, logger,
		hasLease: () => configuration.hasLease(),
		onReady() {
			configuration.reportNow().catch(() => undefined);
		},
	};
	const weights = createWeights({
		...weightsOptions,
		async pauseRequests(change) {
			// An adapter order may take long; the gate closes once it has finished, not while the base order waits for it.
			await adapters.runWithoutOrders(async () => {
				isPaused = true;
				updateGate();
				await waitUntilIdle();
				try {
					await adapters.runBaseOrder(change);
				} finally {
					isPaused = false;
					updateGate();
				}
			});
		},
	});
	const adapters = createAdapters({...weightsOptions, loaded: () => weights.loaded()});

	const configuration = createConfigurationClient({
		controls, logger, report,
		onChange(catalog) {
			updateGate();
			if (kind === 'engine') {
				weights.applyCatalog(catalog);
				adapters.applyCatalog(catalog);
			}

			if (catalog.hosts[hostId]?.status === 'stopped' && !isLeaving) {
				void stop().then(onStopped);
			}
		},
	});

	const gateServer = createGateServer({
		hostId, gate, configuration, endpointAddress, kind, limits, tickMs,
		loaded: () => weights.loaded(),
		acquireAdapter: tag => adapters.acquire(tag),
		onIdle() {
			for (const check of idleWaiters) {
				check();
			}
		},
	});

	const sendChunk = createUploadServer({links, readChunk: async (manifestId, chunk) => await weights.readChunk(manifestId, chunk) ?? adapters.readChunk(manifestId, chunk)});

	rpc.method('agent.settle', resolveAttemptParametersSchema, parameters => gateServer.resolveAttempt(parameters));
	rpc.method('agent.load', loadParametersSchema, (): LoadResult => ({running: gate.running}));
	rpc.method('agent.have', chunkAnnouncementSchema, parameters => {
		weights.handleAnnouncement(parameters);
		adapters.handleAnnouncement(parameters);
	});

	const close = async (): Promise<void> => {
		configuration.close();
		gateServer.close();
		links.close();
		await adapters.close();
		await weights.close();
	};

	const stop = async (): Promise<void> => {
		isLeaving = true;
		updateGate();
		logger.event('BP9002', {hostId});
		await configuration.reportNow().catch(() => undefined);
		await waitUntilIdle();
		await waitUntilEntriesNotified();
		await close();
		await server.close();
	};

	/**
	 * An entry that has not yet received the update still sends requests here.
	 * If the port were already closed, their callers would get the verdict "may
	 * have run"; while the request gate is up, it refuses them as "not run".
	 */
	const waitUntilEntriesNotified = async (): Promise<void> => {
		const endAtMs = performance.now() + leaveTimeoutMs;
		while (configuration.catalog().hosts[hostId] !== undefined && performance.now() < endAtMs) {
			await delay(leavePollMs);
		}

		await delay(updateGraceMs);
	};

	return {
		hostId,
		address: server.address,
		incarnation,
		inForce: () => configuration.inForce(),
		stop,
		async kill() {
			await close();
			server.destroy();
		},
	};
};
