import type http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createDoor, type DoorState, type RunLimits} from '@bitternpaddle/coordination';
import {
	haveParametersSchema, loadParametersSchema, settleParametersSchema, type HostReport, type LoadResult,
} from '@bitternpaddle/protocol';
import {
	announcementSchema, versionIdSchema, type Announcement,
} from '@bitternpaddle/state';
import {
	createHttpServer, createRpcServer, rpcPath, sendJson, silentLogger, type Logger, type ServerLimits,
} from '@bitternpaddle/transport';
import {createConfigurationClient, type ConfigurationInForce} from '../host/configuration-client.js';
import {claimDataFolder} from '../host/data-folder.js';
import {createAdapters} from './adapters.js';
import {answersPrefix, createDoorServer, doorPrefix} from './door-server.js';
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
	/** The rate-limited weight store, asked while the origin fails or refuses. */
	readonly storeAddress?: string;
	/** Copies of a version that may leave the origin, 1 to 4. @default 1 */
	readonly originCopies?: number;
	/** What transfers may take of the link at most, each way; not limited by default. */
	readonly transferLimits?: {readonly inBytesPerSecond?: number; readonly outBytesPerSecond?: number};
	/** Chunks of a version that is no longer assigned are kept this long. */
	readonly keepMs?: number;
	/** How often the engine is asked what it holds. */
	readonly engineCheckMs?: number;
	/** Chunks lie here; it need not survive. */
	readonly folder: string;
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Where others reach this agent, when that is not where it listens. @default the address it listens on */
	readonly announcedAddress?: string;
	/** @default 16 */
	readonly capacity?: number;
	/** How long the door keeps silent or forsaken runs. */
	readonly limits?: RunLimits;
	/** How often the door gives waiting entries a sign of life. @default 500 */
	readonly tickMs?: number;
	/** What this host holds for its callers at most. @default {} */
	readonly serverLimits?: ServerLimits;
	readonly logger?: Logger;
	/** Called when the operator has stopped this host and its work is done. */
	onStopped?(): void;
};

export type AgentNode = {
	readonly hostId: string;
	readonly address: string;
	/** Grows with every start. */
	readonly incarnation: number;
	/** The configuration that this host acts on now. */
	inForce(): ConfigurationInForce;
	/** Graceful: takes no new work, finishes what runs, says goodbye, ends. */
	stop(): Promise<void>;
	/** At once, as a crash would. */
	kill(): Promise<void>;
};

/** Longest wait for control to take a leaving host out of the configuration. */
const leaveMs = 2000;
const leavePollMs = 20;
/** What entries may need longer than this host to hear of it. */
const lingerMs = 500;

/** The process beside one endpoint. */
export const createAgentNode = async (options: AgentNodeOptions): Promise<AgentNode> => {
	const {
		hostId, zoneId, regionId, serviceId, provider, kind, endpointAddress, controls, originAddress, storeAddress, folder,
		originCopies = 1, transferLimits = {}, keepMs, engineCheckMs,
		listen = '127.0.0.1:0', capacity = 16, limits, tickMs, serverLimits, logger = silentLogger, onStopped,
	} = options;
	await claimDataFolder(folder, {role: 'agent', hostId});
	const incarnation = Date.now();
	const door: DoorState = createDoor({capacity, incarnation});
	const links = createTransferLinks({
		inBytesPerSecond: transferLimits.inBytesPerSecond ?? null, outBytesPerSecond: transferLimits.outBytesPerSecond ?? null,
		hasStore: storeAddress !== undefined, door: () => ({running: door.running, capacity: door.capacity}),
	});
	const idleWaiters = new Set<() => void>();
	let isLeaving = false;
	let isPaused = false;

	const whenIdle = async (): Promise<void> => new Promise(resolve => {
		const check = (): void => {
			if (door.running === 0) {
				idleWaiters.delete(check);
				resolve();
			}
		};

		idleWaiters.add(check);
		check();
	});

	const updateDoor = (): void => {
		const status = configuration.catalog().hosts[hostId]?.status;
		door.isClosing = isLeaving || isPaused || (status !== undefined && status !== 'serving');
	};

	const announcement = (): Announcement => announcementSchema.parse({
		hostId, zoneId, regionId, serviceId, provider, address: options.announcedAddress ?? server.address, capacity, incarnation, kind,
	});

	const report = (): HostReport => ({
		hostId, role: 'agent', address: server.address, revision: configuration.catalog().revision, requestsInFlight: door.running,
		announcement: announcement(), isLeaving, transfers: [...weights.statuses(), ...adapters.statuses()],
		readyVersionId: versionIdSchema.nullable().parse(weights.loaded()?.versionId ?? null), ...readyAdapters(),
	});

	const readyAdapters = (): Pick<HostReport, 'readyAdapterIds'> => {
		const readyAdapterIds = adapters.readyIds();
		return readyAdapterIds.length === 0 ? {} : {readyAdapterIds};
	};

	const rpc = createRpcServer();
	const server = await createHttpServer({
		listen, limits: serverLimits,
		async handler(request, response) {
			const url = request.url ?? '';
			if (url.startsWith(`${doorPrefix}/`)) {
				await doorServer.handle(request, response);
			} else if (url.startsWith(`${answersPrefix}/`)) {
				await doorServer.resume(request, response);
			} else if (url === rpcPath) {
				await rpc.serve(request, response);
			} else if (url.startsWith(`${chunksPrefix}/`)) {
				await sendChunk(request, response);
			} else if (url === '/readyz') {
				sendJson(response, door.isClosing ? 503 : 200, {readyVersionId: weights.loaded()?.versionId ?? null, revision: configuration.catalog().revision});
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
		async pauseDoor(change) {
			// An order about an adapter may take long; the door closes when it is over, not while the base waits for it.
			await adapters.holdOrders(async () => {
				isPaused = true;
				updateDoor();
				await whenIdle();
				try {
					await adapters.aroundBaseOrder(change);
				} finally {
					isPaused = false;
					updateDoor();
				}
			});
		},
	});
	const adapters = createAdapters({...weightsOptions, loaded: () => weights.loaded()});

	const configuration = createConfigurationClient({
		controls, logger, report,
		onChange(catalog) {
			updateDoor();
			if (kind === 'engine') {
				weights.follow(catalog);
				adapters.follow(catalog);
			}

			if (catalog.hosts[hostId]?.status === 'stopped' && !isLeaving) {
				void stop().then(onStopped);
			}
		},
	});

	const doorServer = createDoorServer({
		hostId, door, configuration, endpointAddress, kind, limits, tickMs,
		loaded: () => weights.loaded(),
		enterAdapter: tag => adapters.enter(tag),
		onIdle() {
			for (const check of idleWaiters) {
				check();
			}
		},
	});

	const sendChunk = createUploadServer({links, readChunk: async (manifestId, chunk) => await weights.readChunk(manifestId, chunk) ?? adapters.readChunk(manifestId, chunk)});

	rpc.method('agent.settle', settleParametersSchema, parameters => doorServer.settle(parameters));
	rpc.method('agent.load', loadParametersSchema, (): LoadResult => ({running: door.running}));
	rpc.method('agent.have', haveParametersSchema, parameters => {
		weights.hear(parameters);
		adapters.hear(parameters);
	});

	const close = async (): Promise<void> => {
		configuration.close();
		doorServer.close();
		links.close();
		await adapters.close();
		await weights.close();
	};

	const stop = async (): Promise<void> => {
		isLeaving = true;
		updateDoor();
		logger.event('BP9002', {hostId});
		await configuration.reportNow().catch(() => undefined);
		await whenIdle();
		await whenEntriesKnow();
		await close();
		await server.close();
	};

	/**
	 * An entry that has not yet heard of the leave still sends requests here.
	 * If the port were closed already, their callers would be told "may have
	 * run"; as long as the door is there it refuses them as "not run".
	 */
	const whenEntriesKnow = async (): Promise<void> => {
		const endAtMs = performance.now() + leaveMs;
		while (configuration.catalog().hosts[hostId] !== undefined && performance.now() < endAtMs) {
			await delay(leavePollMs);
		}

		await delay(lingerMs);
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
