import {setTimeout as delay} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import type {Clock, EngineReport} from '@bitternpaddle/coordination';
import {
	chunksPrefix, createUploadServer, retryAfterMsHeader, type TransferPeer,
} from '@bitternpaddle/daemon/transfer';
import {chunkAnnouncementSchema} from '@bitternpaddle/protocol';
import type {EngineProfile} from '@bitternpaddle/state';
import {
	callRpc, createHttpServer, createLimitReporter, createRpcServer, rpcPath, sendJson, type Logger,
} from '@bitternpaddle/transport';
import {createConfigurationHolder} from '../link/configuration-holder.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import {createWantedVersions} from '../link/wanted-versions.js';
import {createCoreClient} from '../link/core-client.js';
import {permitResultSchema, type Follower, type Roster} from '../link/methods.js';
import {createLoadReporter} from '../load/load-reporter.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {agentCallLimits, defaultHostLimits, type HostLimits} from '../process/host-limits.js';
import type {EngineClient, EngineState, OriginClient} from './engine-client.js';
import {createPacedLinks} from './paced-links.js';
import {createVersionLoader, type LoadGoal} from './version-loader.js';
import {createWeightExchange} from './weight-exchange.js';
import {createWeightsProver, heldVersionOf} from './weights-prover.js';

export type AgentNodeOptions = {
	/** Address at which other processes of the system reach this one. */
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	/** The endpoint on this agent's host. */
	readonly endpointAddress: string;
	readonly serviceName: string;
	/** Bandwidth of the host's link, which the endpoint shares. */
	readonly linkBytesPerSecond: number;
	seeds(): readonly string[];
	readonly protocol: Pick<RequestProtocol, 'decodeConfiguration'>;
	readonly engine: EngineClient;
	readonly origin: OriginClient;
	/** Time after a version is named until no request may begin on older weights. */
	readonly versionDueMs: number;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** @default defaultHostLimits */
	readonly hostLimits?: HostLimits;
};

export type AgentNode = {
	stop(): Promise<void>;
};

/** Interval between polls of the engine; one pass of its batch takes about as long. */
const reportIntervalMs = 100;
/** An unchanged report is resent after this time to make up for a lost datagram. */
const resendIntervalMs = 180;
/** Longer than a report takes to reach all entries: one inter-region latency plus a busy event loop. */
const leaveNoticeMs = 25;
/** The leader holds a permit request for up to 0.3 s; the rest covers an inter-region round trip and a busy host. */
const permitTimeoutMs = 700;
/** Share of the link for transfers while the engine serves; the rest is for the engine's requests and answers and for the protocol overhead of transfers. */
const servingLinkShare = 0.85;
/** An engine without weights serves no requests, so transfers may use the whole link. */
const emptyEngineLinkShare = 1;
const firstVersion = 1;
/** Ratio of the real duration of a copy to the time that its bytes alone need on the host's link, when all engines start empty. */
const fetchTimeFactor = 1.2;
/** Long-poll duration at core hosts. Updates are answered at once; without any, this is how often an agent polls. At 1.5 s these polls were a third of an agent's cost. */
const longPollMs = 4000;
/** Interval of extra polls of the core hosts while the wanted version is undetermined. */
const refreshIntervalMs = 250;
/** Minimum interval between fetches of newer configurations. */
const configurationIntervalMs = 5000;
/** Takes about 10 ms on a slow host's link. */
const uploadPieceBytes = 8192;
/** Retry delay that a host with a congested link sends to peers that request a chunk. */
const congestedLinkRetryMs = 500;
/** Largest call of a peer: what it holds of a version. */
const maxCallBytes = 1024 * 1024;

export const createAgentNode = async (options: AgentNodeOptions): Promise<AgentNode> => {
	const {
		selfAddress, zoneId, regionId, endpointAddress, serviceName, linkBytesPerSecond, seeds, protocol, engine, origin, versionDueMs, clock, logger, metrics,
		hostLimits = defaultHostLimits,
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
	let configurationReceivedAtMs = Number.NEGATIVE_INFINITY;
	let sentReportText = '';
	let sentReport: EngineReport | null = null;
	let reportSentAtMs = Number.NEGATIVE_INFINITY;

	const profile = (): EngineProfile | null => configuration.table()?.services.get(serviceName)?.engine ?? null;

	/** The version that the engine named at the last poll; `null` if none. */
	const heldVersion = (): number | null => {
		if (state === null) {
			return null;
		}

		const known = profile();
		return known === null ? state.models[0]?.version ?? null : heldVersionOf(state, known.model);
	};

	const links = createPacedLinks({bytesPerSecond: linkBytesPerSecond, share: () => heldVersion() === null ? emptyEngineLinkShare : servingLinkShare});
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

	const prover = createWeightsProver({
		engine, logger,
		onChange() {
			report();
		},
		onRestart() {
			exchange.writer.forgetLostWrites();
		},
		onResponsive(forMs) {
			exchange.writer.recordResponsive(forMs);
		},
	});

	const goal = (): LoadGoal | null => {
		const table = configuration.table();
		const known = profile();
		const source = [...table?.services.values() ?? []].find(service => service.origin !== null)?.origin ?? null;
		const isConfirmed = versions.isDetermined(performance.now());
		// A serving engine keeps its version until the wanted one is confirmed.
		if (known === null || source === null || (!isConfirmed && (heldVersion() !== null || versions.newest(known.model) === 0))) {
			return null;
		}

		const version = Math.max(firstVersion, versions.newest(known.model));
		return {
			profile: known, origin: source, version, namedAgeMs: versions.ageMs(known.model, version, performance.now()), isConfirmed,
		};
	};

	const wholeVersion = (): number | null => {
		const proof = prover.proof();
		return proof.type === 'whole' ? proof.version : null;
	};

	/** Estimated time until the engine serves the wanted version, from the missing chunks and the link's bandwidth; `null` if it already does or the time cannot be estimated. */
	const readyInMs = (): number | null => {
		const loadGoal = goal();
		const missing = exchange.missingChunks();
		if (loadGoal === null || missing === null || (wholeVersion() ?? -1) >= loadGoal.version) {
			return null;
		}

		const {profile: {chunkBytes, loadMs}} = loadGoal;
		return Math.round(loadMs + (fetchTimeFactor * missing * chunkBytes * 1000 / linkBytesPerSecond));
	};

	const reportOf = (polled: EngineState): EngineReport => ({
		running: polled.running, queued: polled.queued, pace: polled.pace, isBusy: polled.isBusy || isLeavingService, isStrained: exchange.isStrained(),
		weights: prover.proof(), readyInMs: readyInMs(),
	});

	const report = (): void => {
		const message = state === null ? null : reportOf(state);
		const text = JSON.stringify(message);
		const nowMs = performance.now();
		const hasStateChange = message?.isBusy !== sentReport?.isBusy || !isDeepStrictEqual(message?.weights, sentReport?.weights) || (message === null) !== (sentReport === null);
		if (text !== sentReportText || nowMs - reportSentAtMs >= resendIntervalMs) {
			sentReportText = text;
			sentReport = message;
			reportSentAtMs = nowMs;
			reporter.send(message, hasStateChange);
		}
	};

	const pollEngine = async (): Promise<void> => {
		const wasReachable = state !== null;
		try {
			state = await engine.state();
		} catch (error) {
			state = null;
			if (wasReachable) {
				logger.event('BP4036', {isReachable: false, reason: (error as Error).message});
			}
		}

		const known = profile();
		if (state !== null && known !== null) {
			prover.observe(state, known.model);
		}

		if (!wasReachable && state !== null) {
			logger.event('BP4036', {isReachable: true});
		}

		report();
	};

	/** The core host that answered last; it most likely still leads. */
	let leaderAddress = '';

	const requestPermit = async (isDone: boolean): Promise<boolean> => {
		const addresses = client.liveAddresses();
		for (const address of addresses.includes(leaderAddress) ? [leaderAddress, ...addresses.filter(other => other !== leaderAddress)] : addresses) {
			try {
				const result = await callRpc<unknown>({
					address, method: 'gateway.permit', timeoutMs: permitTimeoutMs, params: {agentAddress: selfAddress, serviceName, isDone},
				});
				if (!isDone) {
					leaderAddress = address;
					return permitResultSchema.parse(result).isGranted;
				}
			} catch {
				// Only the leader grants permits; any other core host answers with an error, and the next one is tried.
			}
		}

		return false;
	};

	const loader = createVersionLoader({
		engine, prover, logger, goal, profile, requestPermit, dueMs: versionDueMs,
		engineState: () => state,
		openWeights: exchange.open,
		async setLeavingService(isLeaving) {
			if (isLeaving !== isLeavingService) {
				isLeavingService = isLeaving;
				report();
				// Requests in flight when the load order is sent would wait until the version is loaded.
				await delay(isLeaving ? leaveNoticeMs : 0);
			}
		},
	});
	const client = createCoreClient({
		self, seeds, clock, logger, waitMs: longPollMs, configurationNumber: configuration.number,
		// Agents use only the engine profiles and origins, which rarely change; routes and keys concern entries.
		wantsConfiguration: () => configuration.number() === -1 || performance.now() - configurationReceivedAtMs > configurationIntervalMs,
		onConfiguration(document) {
			configurationReceivedAtMs = performance.now();
			configuration.applyIfNewer(document);
		},
		onResult(result) {
			versions.recordResult(result, performance.now());
			if (result.roster !== null) {
				({roster} = result);
				entries = roster.followers.filter(({role}) => role === 'entry');
				exchange.changePeers();
			}
		},
	});

	const rpc = createRpcServer({bodyLimitBytes: maxCallBytes});
	rpc.method('agent.have', chunkAnnouncementSchema, parameters => {
		exchange.receiveHave(parameters);
	});
	const serveUpload = createUploadServer({links, maxWriteBytes: uploadPieceBytes, readChunk: async (manifestId, chunk) => exchange.readChunk(manifestId, chunk)});
	const server = await createHttpServer({
		listen: selfAddress, limits: agentCallLimits(hostLimits), onLimit: createLimitReporter({listener: 'internal', logger, count: metrics.limit}),
		async handler(request, response) {
			const url = request.url ?? '/';
			if (url.startsWith(rpcPath)) {
				await rpc.serve(request, response);
				return;
			}

			if (url.startsWith(`${chunksPrefix}/`) && exchange.isBackingOff()) {
				sendJson(response, 503, {error: 'the link of this host is congested'}, {[retryAfterMsHeader]: String(congestedLinkRetryMs)});
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

	let lastRefreshAtMs = Number.NEGATIVE_INFINITY;
	/** Core hosts send no update when they confirm that their state is current, so the agent polls for it. */
	const refreshUntilDetermined = (): void => {
		const nowMs = performance.now();
		if (!versions.isDetermined(nowMs) && nowMs - lastRefreshAtMs > refreshIntervalMs) {
			lastRefreshAtMs = nowMs;
			client.refresh();
		}
	};

	const isOpen = (): boolean => !isClosed;
	const run = async (intervalMs: number, task: () => Promise<void>): Promise<void> => {
		while (isOpen()) {
			await task();
			await delay(intervalMs);
		}
	};

	void run(reportIntervalMs, async () => {
		await pollEngine();
		refreshUntilDetermined();
		void loader.step();
	});
	metrics.gauge('origin_bytes', 'Bytes of weights drawn from the origin.', () => exchange.counters.originBytes);
	metrics.gauge('peer_bytes', 'Bytes of weights drawn from other hosts.', () => exchange.counters.peerBytes);
	metrics.gauge('engine_running', 'Requests that the engine runs.', () => state?.running ?? -1);
	metrics.gauge('engine_queued', 'Requests that wait at the engine.', () => state?.queued ?? -1);
	metrics.gauge('whole_version', 'Version of the weights that the engine was shown to hold whole; -1 for none.', () => wholeVersion() ?? -1);
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
