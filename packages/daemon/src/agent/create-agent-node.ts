import type http from 'node:http';
import {createDoor, type DoorState, type RunLimits} from '@bitternpaddle/coordination';
import {
	haveParametersSchema, loadParametersSchema, settleParametersSchema, type HostReport, type LoadResult,
} from '@bitternpaddle/protocol';
import {
	announcementSchema, versionIdSchema, type Announcement,
} from '@bitternpaddle/state';
import {
	createHttpServer, createRpcServer, rpcPath, sendJson, silentLogger, type Logger,
} from '@bitternpaddle/transport';
import {createConfigurationClient, type ConfigurationInForce} from '../host/configuration-client.js';
import {answersPrefix, createDoorServer, doorPrefix} from './door-server.js';
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
	readonly logger?: Logger;
	/** Called when the operator has stopped this host and its work is done. */
	onStopped?(): void;
};

export type AgentNode = {
	readonly hostId: string;
	readonly address: string;
	/** The configuration that this host acts on now. */
	inForce(): ConfigurationInForce;
	/** Graceful: takes no new work, finishes what runs, says goodbye, ends. */
	stop(): Promise<void>;
	/** At once, as a crash would. */
	kill(): Promise<void>;
};

/** The process beside one endpoint. */
export const createAgentNode = async (options: AgentNodeOptions): Promise<AgentNode> => {
	const {
		hostId, zoneId, regionId, serviceId, provider, kind, endpointAddress, controls, originAddress, folder,
		listen = '127.0.0.1:0', capacity = 16, limits, tickMs, logger = silentLogger, onStopped,
	} = options;
	const incarnation = Date.now();
	const door: DoorState = createDoor({capacity, incarnation});
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
		announcement: announcement(), isLeaving, transfers: weights.statuses(),
		readyVersionId: weights.readyVersionId() === null ? null : versionIdSchema.parse(weights.readyVersionId()),
	});

	const rpc = createRpcServer();
	const server = await createHttpServer({
		listen,
		async handler(request, response) {
			const url = request.url ?? '';
			if (url.startsWith(`${doorPrefix}/`)) {
				await doorServer.handle(request, response);
			} else if (url.startsWith(`${answersPrefix}/`)) {
				await doorServer.resume(request, response);
			} else if (url === rpcPath) {
				await rpc.serve(request, response);
			} else if (url.startsWith('/chunks/')) {
				await sendChunk(url, response);
			} else if (url === '/readyz') {
				sendJson(response, door.isClosing ? 503 : 200, {readyVersionId: weights.readyVersionId(), revision: configuration.catalog().revision});
			} else {
				sendJson(response, 404, {error: {type: 'not_found', message: `${request.method} ${url}`}});
			}
		},
	});

	const weights = createWeights({
		hostId, zoneId, regionId, folder, originAddress, endpointAddress, selfAddress: () => options.announcedAddress ?? server.address, logger,
		async pauseDoor(change) {
			isPaused = true;
			updateDoor();
			await whenIdle();
			try {
				await change();
			} finally {
				isPaused = false;
				updateDoor();
			}
		},
		onReady() {
			configuration.reportNow().catch(() => undefined);
		},
	});

	const configuration = createConfigurationClient({
		controls, logger, report,
		onChange(catalog) {
			updateDoor();
			if (kind === 'engine') {
				weights.follow(catalog);
			}

			if (catalog.hosts[hostId]?.status === 'stopped' && !isLeaving) {
				void stop().then(onStopped);
			}
		},
	});

	const doorServer = createDoorServer({
		hostId, door, configuration, endpointAddress, kind, limits, tickMs,
		loaded() {
			const versionId = weights.readyVersionId();
			const digest = weights.readyDigest();
			return versionId === null || digest === null ? null : {versionId, digest};
		},
		onIdle() {
			for (const check of idleWaiters) {
				check();
			}
		},
	});

	const sendChunk = async (url: string, response: http.ServerResponse): Promise<void> => {
		const [manifestId, chunk] = url.split('/').slice(2);
		const data = await weights.readChunk(manifestId ?? '', Number(chunk));
		if (data === null) {
			sendJson(response, 404, {error: {type: 'not_found', message: `chunk ${chunk} is not held`}});
			return;
		}

		response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': data.length});
		response.end(data);
	};

	rpc.method('agent.settle', settleParametersSchema, parameters => doorServer.settle(parameters));
	rpc.method('agent.load', loadParametersSchema, (): LoadResult => ({running: door.running}));
	rpc.method('agent.have', haveParametersSchema, parameters => {
		weights.hear(parameters);
	});

	const close = async (): Promise<void> => {
		configuration.close();
		doorServer.close();
		await weights.close();
	};

	const stop = async (): Promise<void> => {
		isLeaving = true;
		updateDoor();
		logger.event('BP9002', {hostId});
		await configuration.reportNow().catch(() => undefined);
		await whenIdle();
		await close();
		await server.close();
	};

	return {
		hostId,
		address: server.address,
		inForce: () => configuration.inForce(),
		stop,
		async kill() {
			await close();
			server.destroy();
		},
	};
};
