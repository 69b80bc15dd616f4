import {setTimeout as delay} from 'node:timers/promises';
import type {Clock, EngineReport} from '@bitternpaddle/coordination';
import {
	chunksPrefix, createUploadServer, retryAfterMsHeader, type TransferPeer,
} from '@bitternpaddle/daemon/transfer';
import {haveParametersSchema} from '@bitternpaddle/protocol';
import {
	callRpc, createHttpServer, createRpcServer, rpcPath, sendJson, type Logger,
} from '@bitternpaddle/transport';
import {createConfigurationHolder} from '../link/configuration-holder.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import {createWantedVersions} from '../link/wanted-versions.js';
import {createCoreClient} from '../link/core-client.js';
import {permitResultSchema, type Follower, type Roster} from '../link/methods.js';
import {createLoadReporter} from '../load/load-reporter.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import type {EngineClient, EngineState, OriginClient} from './engine-client.js';
import {createPacedLinks} from './paced-links.js';
import {createVersionLoader, versionIn, type LoadGoal} from './version-loader.js';
import {createWeightExchange} from './weight-exchange.js';

export type AgentNodeOptions = {
	/** Where other processes of the system reach this one. */
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	/** The endpoint beside this agent. */
	readonly endpointAddress: string;
	readonly serviceName: string;
	/** The host's link, which the endpoint shares. */
	readonly linkBytesPerSecond: number;
	seeds(): readonly string[];
	readonly protocol: Pick<RequestProtocol, 'decodeConfiguration'>;
	readonly engine: EngineClient;
	readonly origin: OriginClient;
	/** No request begins on older weights later than this after newer ones were named. */
	readonly versionDueMs: number;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
};

export type AgentNode = {
	stop(): Promise<void>;
};

/** How often the engine is looked at; a pass of its batch takes about as long. */
const reportMs = 100;
/** An unchanged report is sent again after this, so that a lost one is made up for. */
const repeatMs = 180;
/** Longer than a report takes to all entries, one crossing between regions and a busy loop. */
const leaveNoticeMs = 25;
/** The leader keeps the question open for up to 0.3 s; the rest is for two crossings and a busy host. */
const permitTimeoutMs = 700;
/** What exchanges may take of the link beside an engine that serves; the rest is for the engine's requests and answers, and for what transfers cost beside the chunks. */
const linkShare = 0.85;
/** An engine that begins empty serves nobody: its transfers may take all of the link. */
const emptyLinkShare = 1;
const firstVersion = 1;
/** A copy takes this many times what the host's link needs for its bytes alone, where all engines begin empty. */
const fetchFactor = 1.2;
/** News come at once; without any, an agent is heard of this often. Every 1.5 s these questions were a third of what an agent takes. */
const followMs = 4000;
/** How often core hosts are asked out of turn while it is not known which weights are wanted. */
const refreshMs = 250;
/** How often an agent takes a newer configuration. */
const configurationMs = 5000;
/** About 10 ms of a slow host's link. */
const uploadPieceBytes = 8192;
/** When a host whose link is strained may be asked for a chunk again. */
const strainedRetryMs = 500;

export const createAgentNode = async (options: AgentNodeOptions): Promise<AgentNode> => {
	const {
		selfAddress, zoneId, regionId, endpointAddress, serviceName, linkBytesPerSecond, seeds, protocol, engine, origin, versionDueMs, clock, logger, metrics,
	} = options;
	const self: Follower = {
		role: 'agent', address: selfAddress, zoneId, regionId, endpointAddress, serviceName,
	};
	const configuration = createConfigurationHolder({protocol, logger});
	const versions = createWantedVersions({dueMs: versionDueMs, startedAtMs: performance.now()});
	let roster: Roster = {
		hash: '', coreAddresses: [], entryCount: 0, followers: [],
	};
	let entries: readonly Follower[] = [];
	let state: EngineState | null = null;
	let isLeavingService = false;
	let isClosed = false;
	let configuredAtMs = Number.NEGATIVE_INFINITY;
	let sentText = '';
	let sent: EngineReport | null = null;
	let sentAtMs = Number.NEGATIVE_INFINITY;

	/** The version that the engine serves, as last read; `null` while it serves none. */
	const servedVersion = (): number | null => {
		if (state === null) {
			return null;
		}

		const profile = configuration.table()?.services.get(serviceName)?.engine ?? null;
		return profile === null ? state.models[0]?.version ?? null : versionIn(state, profile.model);
	};

	const links = createPacedLinks({bytesPerSecond: linkBytesPerSecond, share: () => servedVersion() === null ? emptyLinkShare : linkShare});
	const reporter = createLoadReporter({
		endpointAddress, zoneId, entries: () => entries,
	});

	const peers = (): TransferPeer[] => roster.followers
		.filter(follower => follower.role === 'agent' && follower.serviceName === serviceName && follower.address !== selfAddress)
		.map(({address, zoneId: zone, regionId: region}) => ({
			hostId: address, address, zoneId: zone, regionId: region,
		}));

	const exchange = createWeightExchange({
		selfAddress, zoneId, regionId, engine, origin, links, linkBytesPerSecond, logger, peers,
	});

	const goal = (): LoadGoal | null => {
		const table = configuration.table();
		const profile = table?.services.get(serviceName)?.engine ?? null;
		const source = [...table?.services.values() ?? []].find(service => service.origin !== null)?.origin ?? null;
		const isSure = versions.isSettled(performance.now());
		// An engine that serves goes on as it is until the wanted version is sure.
		if (profile === null || source === null || (!isSure && (servedVersion() !== null || versions.newest(profile.model) === 0))) {
			return null;
		}

		const version = Math.max(firstVersion, versions.newest(profile.model));
		return {
			profile, origin: source, version, namedAgeMs: versions.ageMs(profile.model, version, performance.now()), isSure,
		};
	};

	/** When the engine will most likely serve the wanted version, by what is missing and the host's link; `null` if it does or nobody can tell. */
	const readyInMs = (): number | null => {
		const wanted = goal();
		const missing = exchange.missingChunks();
		if (wanted === null || missing === null || (servedVersion() ?? 0) >= wanted.version) {
			return null;
		}

		const {profile: {chunkBytes, loadMs}} = wanted;
		return Math.round(loadMs + (fetchFactor * missing * chunkBytes * 1000 / linkBytesPerSecond));
	};

	const reportOf = (seen: EngineState): EngineReport => ({
		running: seen.running, queued: seen.queued, pace: seen.pace, isBusy: seen.isBusy || isLeavingService, isStrained: exchange.isStrained(),
		version: servedVersion(), readyInMs: readyInMs(),
	});

	const report = (): void => {
		const message = state === null ? null : reportOf(state);
		const text = JSON.stringify(message);
		const nowMs = performance.now();
		const isTurning = message?.isBusy !== sent?.isBusy || message?.version !== sent?.version || (message === null) !== (sent === null);
		if (text !== sentText || nowMs - sentAtMs >= repeatMs) {
			sentText = text;
			sent = message;
			sentAtMs = nowMs;
			reporter.send(message, isTurning);
		}
	};

	const look = async (): Promise<void> => {
		const wasReachable = state !== null;
		try {
			state = await engine.state();
		} catch (error) {
			state = null;
			if (wasReachable) {
				logger.event('BP4036', {isReachable: false, reason: (error as Error).message});
			}
		}

		if (!wasReachable && state !== null) {
			logger.event('BP4036', {isReachable: true});
		}

		report();
	};

	/** The core host that answered last: most likely it still leads. */
	let leaderAddress = '';

	const askPermit = async (isDone: boolean): Promise<boolean> => {
		const addresses = client.liveAddresses();
		for (const address of addresses.includes(leaderAddress) ? [leaderAddress, ...addresses.filter(other => other !== leaderAddress)] : addresses) {
			try {
				const answer = await callRpc<unknown>({
					address, method: 'gateway.permit', timeoutMs: permitTimeoutMs, params: {agentAddress: selfAddress, serviceName, isDone},
				});
				if (!isDone) {
					leaderAddress = address;
					return permitResultSchema.parse(answer).isGranted;
				}
			} catch {
				// Only the leader grants; whoever does not lead says so, and the next is asked.
			}
		}

		return false;
	};

	const loader = createVersionLoader({
		engine, logger, goal, askPermit, dueMs: versionDueMs,
		engineState: () => state,
		openWeights: exchange.open,
		async setLeavingService(isLeaving) {
			if (isLeaving !== isLeavingService) {
				isLeavingService = isLeaving;
				report();
				// Requests that are on their way when the order is given would wait until the version is loaded.
				await delay(isLeaving ? leaveNoticeMs : 0);
			}
		},
	});
	const client = createCoreClient({
		self, seeds, clock, logger, waitMs: followMs, configurationNumber: configuration.number,
		// What an agent reads of it hardly ever changes: routes and keys are for entries.
		wantsConfiguration: () => configuration.number() === -1 || performance.now() - configuredAtMs > configurationMs,
		onConfiguration(document) {
			configuredAtMs = performance.now();
			configuration.take(document);
		},
		onResult(result) {
			versions.hear(result, performance.now());
			if (result.roster !== null) {
				({roster} = result);
				entries = roster.followers.filter(({role}) => role === 'entry');
				exchange.changePeers();
			}
		},
	});

	const rpc = createRpcServer();
	rpc.method('agent.have', haveParametersSchema, parameters => {
		exchange.hear(parameters);
	});
	const serveUpload = createUploadServer({links, pieceBytes: uploadPieceBytes, readChunk: async (manifestId, chunk) => exchange.readChunk(manifestId, chunk)});
	const server = await createHttpServer({
		listen: selfAddress,
		async handler(request, response) {
			const url = request.url ?? '/';
			if (url.startsWith(rpcPath)) {
				await rpc.serve(request, response);
				return;
			}

			if (url.startsWith(`${chunksPrefix}/`) && exchange.isResting()) {
				sendJson(response, 503, {error: 'the link of this host is strained'}, {[retryAfterMsHeader]: String(strainedRetryMs)});
				return;
			}

			if (url.startsWith(`${chunksPrefix}/`)) {
				await serveUpload(request, response);
				return;
			}

			const [, kind, model = '', version] = url.split('/');
			const digests = kind === 'digests' ? exchange.digests(decodeURIComponent(model), Number(version)) : null;
			sendJson(response, digests === null ? 404 : 200, digests ?? []);
		},
	});

	let refreshedAtMs = Number.NEGATIVE_INFINITY;
	/** That a core host has become sure is no news that it tells by itself. */
	const askUntilSettled = (): void => {
		const nowMs = performance.now();
		if (!versions.isSettled(nowMs) && nowMs - refreshedAtMs > refreshMs) {
			refreshedAtMs = nowMs;
			client.refresh();
		}
	};

	const isOpen = (): boolean => !isClosed;
	const run = async (pauseMs: number, work: () => Promise<void>): Promise<void> => {
		while (isOpen()) {
			await work();
			await delay(pauseMs);
		}
	};

	void run(reportMs, async () => {
		await look();
		askUntilSettled();
		void loader.step();
	});
	metrics.gauge('origin_bytes', 'Bytes of weights drawn from the origin.', () => exchange.counters.originBytes);
	metrics.gauge('peer_bytes', 'Bytes of weights drawn from other hosts.', () => exchange.counters.peerBytes);
	metrics.gauge('engine_running', 'Requests that the engine runs.', () => state?.running ?? -1);
	metrics.gauge('engine_queued', 'Requests that wait at the engine.', () => state?.queued ?? -1);
	metrics.gauge('wanted_version', 'Version of the weights that is wanted.', () => goal()?.version ?? -1);
	return {
		async stop() {
			isClosed = true;
			client.close();
			exchange.close();
			links.close();
			reporter.close();
			server.destroy();
		},
	};
};
