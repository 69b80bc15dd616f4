import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type {CallerLimits} from '@bitternpaddle/state';
import {
	createArrivalRate, createFirstAttemptDeadlines, createObjectiveMix, createRandom, createSpareCapacity, createStallMeter, createStartShare, defaultColdBounds,
	observeClock, observeIntervalMs, readDelayMs, type Clock,
} from '@bitternpaddle/coordination';
import {
	callRpc, createHttpServer, createLimitReporter, type Exchange, type Logger, type OnLimit,
} from '@bitternpaddle/transport';
import {createCoreClient} from '../link/core-client.js';
import {retryGrantSchema, type Follower} from '../link/methods.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {
	defaultHostLimits, entryLimits, probeLimits, type HostLimits,
} from '../process/host-limits.js';
import {createConfigurationHolder} from '../link/configuration-holder.js';
import {createEvacuatedZones} from '../link/evacuated-zones.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import {createWantedVersions} from '../link/wanted-versions.js';
import {createDemandExchange, exchangeIntervalMs} from '../demand/demand-exchange.js';
import {createServiceRooms} from '../demand/service-rooms.js';
import {createEndpointLimits} from '../limits/endpoint-limits.js';
import {createRequestQuarantine} from '../quarantine/request-quarantine.js';
import {createLoadListener} from '../load/load-listener.js';
import {createLoadRelay, relayIntervalMs} from '../load/load-relay.js';
import {noRelay, planRelay, type RelayPlan} from '../load/relay-plan.js';
import {createLazyMap} from './lazy-map.js';
import {createAnswerBudget} from './answer-budget.js';
import {createEndpointConnections} from './endpoint-connections.js';
import {createEndpointView} from './endpoint-view.js';
import type {Call, CancelCause} from './gateway-call.js';
import {createEntryLease} from './entry-lease.js';
import {createEvacuationGate} from './evacuation-gate.js';
import {createFrontServer} from './front-server.js';
import {createPermission} from './permission.js';
import {createRetryBudget} from './retry-budget.js';
import {createWaitQueue} from './wait-queue.js';
import type {CallContext} from './call-context.js';
import {recordTruncation, type TruncationCause} from './truncate-answer.js';
import {runCall} from './run-call.js';
import {serveRequest} from './serve-request.js';

/** Time bounds and retry limits from the deployment's settings. */
export type EntryBounds = {
	/** Time within which a revoked key is rejected by every entry. */
	readonly revocationMs: number;
	/** Time after the announcement of a weight version from which no request starts on an older one. */
	readonly versionDueMs: number;
	/** Further attempts per request that all entries may make in a window, in addition to what core hosts hold in reserve. */
	readonly retryShare: number;
	readonly retryWindowMs: number;
	/** Time between the stop signal and the exit of the process. */
	readonly graceMs: number;
	/** Time within which an acknowledged evacuation of a zone holds; `null` if the deployment has no evacuations. @default null */
	readonly evacuationMs?: number | null;
	/** Multiple of a cold endpoint's rate that it may receive in one second at most. @default null */
	readonly coldOverage?: number | null;
	/** Requests in one second beyond that multiple. @default null */
	readonly coldSlack?: number | null;
	/** Whether engine capacity is allocated by priority where kinds compete. @default false */
	readonly allocatesByPriority?: boolean;
};

export type EntryNodeOptions = {
	/** Address at which other processes of the system reach this one. */
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	/** Region of each zone of the deployment, by zone id. @default no zone is known */
	readonly regionsByZone?: ReadonlyMap<string, string>;
	/** Address for callers. */
	readonly listen: string;
	/** Address for readiness probes. */
	readonly readinessListen: string;
	seeds(): readonly string[];
	readonly protocol: RequestProtocol;
	readonly bounds: EntryBounds;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** Seed of the random number generator. */
	readonly randomSeed: number;
	/** @default defaultHostLimits */
	readonly hostLimits?: HostLimits;
};

export type EntryNode = {
	readonly address: string;
	readonly readinessAddress: string;
	isReady(): boolean;
	/** Shuts down gracefully: reports not ready at once, serves for part of the grace period, then closes. */
	stop(): Promise<void>;
	close(): void;
};

const pruneMs = 5000;
/** A core host that takes longer is passed over, because a caller waits for the grant. */
const grantTimeoutMs = 100;
/**
 * Share of the grace period in which callers may still use open connections. Later
 * requests could be aborted when it ends, because the longest streams take half of it.
 */
const servingShare = 0.42;
/**
 * Time that a load balancer takes to stop sending new callers: it probes every second
 * and requires two failed probes. The entry must keep listening until then, even if no
 * connection is open when it receives the stop signal.
 */
const balancerDetectionMs = 2500;
/** Share of the grace period after which running requests are aborted and answered. */
const runningShare = 15 / 16;
/** Share of the grace period after which all connections are closed, so that the process exits by itself; timers of a busy host fire late. */
const openShare = 31 / 32;
const idlePollMs = 50;
/** Minimum time to send the answers of the requests that were aborted. */
const minFlushMs = 100;
/** Clock for everything except the lease; steps of the wall clock would make reports and requests appear late or overdue. */
const monotonicNowMs = (): number => performance.now();

/** Creates an entry: receives requests from callers and forwards them to endpoints. */
export const createEntryNode = async (options: EntryNodeOptions): Promise<EntryNode> => {
	const {
		selfAddress, zoneId, regionId, seeds, protocol, bounds, clock, logger, metrics, hostLimits = defaultHostLimits,
	} = options;
	const {callers: callerLimits, maxAnswerBytes, maxRunningRequests} = entryLimits(hostLimits);
	const limitReporter = (name: string): OnLimit => createLimitReporter({listener: name, logger, count: metrics.limit});
	const reportCallerLimit = limitReporter('callers');
	const self: Follower = {
		role: 'entry', address: selfAddress, zoneId, regionId, endpointAddress: null, serviceName: null,
	};
	const random = createRandom(options.randomSeed);
	/** The other entries; `null` before the first roster. */
	let peers: readonly string[] | null = null;
	const quarantine = createRequestQuarantine({
		selfAddress, peers: () => peers ?? [], logger, metrics, random, nowMs: monotonicNowMs,
		send(data, addresses) {
			listener.datagrams.send(data, addresses);
		},
	});
	const zones = createEvacuatedZones({logger});
	const limits = createEndpointLimits({
		bounds: {overage: bounds.coldOverage ?? defaultColdBounds.overage, slack: bounds.coldSlack ?? defaultColdBounds.slack},
		coldStartOf: serviceName => configuration.table()?.services.get(serviceName)?.coldStart ?? null,
		evacuationEndedAtMs: zones.endedAtMs,
		selfAddress, peers: () => peers, logger, metrics, random, nowMs: monotonicNowMs,
		onGranted() {
			waitQueue.checkNow();
		},
		send(data, addresses) {
			listener.datagrams.send(data, addresses);
		},
	});
	const rooms = createServiceRooms({
		logger, metrics, isEnabled: bounds.allocatesByPriority ?? false, nowMs: monotonicNowMs,
	});
	const demandExchange = createDemandExchange({
		selfAddress, peers: () => peers ?? [], demands: rooms.demands, logger, random, nowMs: monotonicNowMs,
		send(data, addresses) {
			listener.datagrams.send(data, addresses);
		},
	});
	const view = createEndpointView({onRestart: quarantine.recordRestart});
	const connections = createEndpointConnections();
	const answerBudget = createAnswerBudget(maxAnswerBytes);
	metrics.gauge('held_answer_bytes', 'Bytes of answers that are held until they are complete.', answerBudget.heldBytes);
	const waitQueue = createWaitQueue();
	const evacuationGate = createEvacuationGate({
		zones, evacuationMs: bounds.evacuationMs ?? null, logger, startedAtMs: monotonicNowMs(),
	});
	const permission = createPermission({evacuatedZoneIds: zones.zoneIds, regionsByZone: options.regionsByZone ?? new Map()});
	const versions = createWantedVersions({
		dueMs: bounds.versionDueMs, startedAtMs: monotonicNowMs(),
		onNamed({model, version, ageMs}) {
			logger.event('BP4077', {model, version, ageMs: Math.round(ageMs)});
		},
	});
	const firstAttemptDeadlines = createLazyMap(createFirstAttemptDeadlines);
	const sendRate = createLazyMap(createArrivalRate);
	const objectives = createLazyMap(createObjectiveMix);
	const spareCapacity = createLazyMap(createSpareCapacity);
	const startShare = createLazyMap(createStartShare);
	const retryBudget = createRetryBudget({
		terms: {share: bounds.retryShare, windowMs: bounds.retryWindowMs}, startId: randomUUID().slice(0, 8), nowMs: monotonicNowMs,
		coreAddresses() {
			const addresses = client.liveAddresses();
			return [...addresses.filter(address => client.zoneOf(address) === zoneId), ...addresses.filter(address => client.zoneOf(address) !== zoneId)];
		},
		requestGrant: async (address, serviceName, count) => retryGrantSchema.parse(await callRpc<unknown>({
			address, method: 'gateway.takeRetries', params: {serviceName, count}, timeoutMs: grantTimeoutMs,
		})),
	});
	const openCalls = new Set<Call>();
	let entryCount = 1;
	let relayPlan: RelayPlan = noRelay;
	let isLeaving = false;
	let isClosed = false;
	let abortsAtMs = Number.POSITIVE_INFINITY;
	let stoppedAtMs: number | null = null;
	let wasReady = false;

	const configuration = createConfigurationHolder({
		protocol, logger,
		onChange(table) {
			permission.applyConfiguration(table.configuration);
			limits.refresh();
			applyCallerLimits(table.configuration.limits);
			rooms.configure(table.configuration);
			// Each configuration may add and remove routes.
			retryBudget.retainOnly(table.configuration.services.map(({name}) => name));
			firstAttemptDeadlines.retainOnly(table.configuration.routes.map(({name}) => name));
		},
	});

	const applyCallerLimits = (limits: CallerLimits): void => {
		front.setCallerLimits(limits);
		const {maxBufferedBytes = 0} = callerLimits;
		if (limits.maxBodyBytes > maxBufferedBytes) {
			logger.event('BP4074', {maxBodyBytes: limits.maxBodyBytes, maxRequestBytes: maxBufferedBytes});
		}
	};

	const lease = createEntryLease({
		revocationMs: bounds.revocationMs, clock, random, logger, configurationNumber: configuration.number,
		reachesCore: () => client.liveAddresses().length > 0,
		refreshFromCore() {
			client.refresh();
		},
	});

	const sinceStopMs = (): number | null => stoppedAtMs === null ? null : Math.round(monotonicNowMs() - stoppedAtMs);
	const stalls = createStallMeter(monotonicNowMs());
	const observeStalls = (): void => {
		const stalledMs = observeClock(stalls, monotonicNowMs());
		if (stalledMs > 0) {
			metrics.count('stalls', 'Times in which this process did not run for 50 ms or more.');
			view.excuseStall(stalledMs);
		}
	};

	const observing = setInterval(observeStalls, observeIntervalMs);
	const context: CallContext = {
		stalls, observeStalls,
		protocol, connections, answerBudget, view, waitQueue, quarantine, limits, permission, rooms, zoneId, random, logger, metrics, holdsLease: lease.holds, lostCoreRetryMs: lease.retryMs,
		retryBudget, sendRate: sendRate.of, objectives: objectives.of, spareCapacity: spareCapacity.of, startShare: startShare.of,
		entryCount: () => entryCount,
		remainingGraceMs: () => abortsAtMs - monotonicNowMs(),
		nowMs: monotonicNowMs,
		sinceStopMs,
		dues: versions.dues,
	};
	const waitWhile = async (isMissing: () => boolean, maxMs: number): Promise<void> => {
		const untilMs = monotonicNowMs() + maxMs;
		while (isMissing() && monotonicNowMs() < untilMs) {
			await waitQueue.nextCheck();
		}
	};

	const recordCut = ({request, response}: Exchange, cause: TruncationCause, reason: string): void => {
		recordTruncation(context, {
			requestId: String(request.headers[protocol.headers.requestId] ?? ''), response, cause, reason, progress: null,
		});
	};

	const front = await createFrontServer({
		listen: options.listen,
		serve: async (request, response, connection) => serveRequest({
			firstAttemptDeadlines: firstAttemptDeadlines.of,
			protocol, random, logger, metrics, holdsLease: lease.holds, lostCoreRetryMs: lease.retryMs, table: configuration.table, nowMs: monotonicNowMs,
			hasRoom(request) {
				const hasRoom = openCalls.size < maxRunningRequests;
				if (!hasRoom) {
					reportCallerLimit('runningRequests', request.socket.remoteAddress);
				}

				return hasRoom;
			},
			async run(call) {
				openCalls.add(call);
				try {
					await runCall(context, call);
				} finally {
					openCalls.delete(call);
				}
			},
			awaitConfiguration: async maxMs => waitWhile(() => configuration.table() === null, maxMs),
			knowsEvacuations: evacuationGate.isOpen,
			awaitEvacuations: async maxMs => waitWhile(() => !evacuationGate.isOpen(), maxMs),
			awaitLease: async maxMs => waitWhile(() => !lease.hasHeld() && !lease.holds(), maxMs),
		}, request, response, connection),
		onError(error) {
			logger.event('BP9003', {message: error.stack ?? error.message});
		},
		onTruncate(exchange) {
			recordCut(exchange, 'shutdown', 'the grace period ended');
		},
		limits: callerLimits,
		onLimit: reportCallerLimit,
		onUnread(exchange) {
			recordCut(exchange, 'unread', 'the caller did not read it, and unread answers take up their memory');
		},
	});
	const client = createCoreClient({
		self, seeds, clock, logger, configurationNumber: configuration.number, evacuationRevision: zones.revision, requestReport: retryBudget.requestReport, wantsConfiguration: () => true,
		onConfiguration(document) {
			configuration.applyIfNewer(document);
			lease.applyRenewals();
		},
		onResult(result, requestedAtMs) {
			const nowMs = monotonicNowMs();
			evacuationGate.recordResult(result, nowMs);
			view.recordAnnouncements(result.announcements, nowMs);
			versions.recordResult(result, nowMs);
			if (result.roster !== null) {
				entryCount = Math.max(1, result.roster.entryCount);
				relayPlan = planRelay(self, result.roster.followers);
				peers = result.roster.followers.filter(({role, address}) => role === 'entry' && address !== selfAddress).map(({address}) => address);
				quarantine.sync();
				limits.sync();
				demandExchange.sync();
			}

			limits.recordNews({
				announcements: result.announcements, peers: result.roster === null ? null : peers,
				confirmedAtMs: result.freshAgeMs === null ? null : nowMs - (clock.nowMs() - requestedAtMs) - result.freshAgeMs,
			});
			if (result.freshAgeMs !== null) {
				lease.recordRenewal({number: result.configurationNumber, freshAtMs: requestedAtMs - result.freshAgeMs});
			}
		},
	});
	const listener = await createLoadListener({
		listen: selfAddress,
		onReport(loadReport) {
			observeStalls();
			const nowMs = monotonicNowMs();
			view.recordReport(loadReport, nowMs, readDelayMs(stalls, nowMs));
			if (loadReport.report === null) {
				quarantine.recordExit(loadReport.endpointAddress);
			} else {
				quarantine.recordReport(loadReport.endpointAddress);
			}
		},
		onMessage(message) {
			relay.receive(message, monotonicNowMs());
		},
		onOtherDatagram: data => quarantine.receive(data) || limits.receive(data) || demandExchange.receive(data),
		onError(error) {
			logger.event('BP9003', {message: error.message});
		},
	});

	const relay = createLoadRelay({plan: () => relayPlan, delayMs: view.pathDelayMs, send: listener.send});
	const relaying = setInterval(() => {
		relay.tick(monotonicNowMs());
	}, relayIntervalMs);

	const exchangingDemand = setInterval(demandExchange.tick, exchangeIntervalMs);
	const isReady = (): boolean => {
		const ready = !isLeaving && configuration.table() !== null && lease.holds() && evacuationGate.isOpen() && !quarantine.isSyncing();
		if (ready !== wasReady) {
			wasReady = ready;
			logger.event('BP4027', {isReady: ready, isLeaving, configurationNumber: configuration.number()});
		}

		return ready;
	};

	const readiness = await createHttpServer({
		listen: options.readinessListen, limits: probeLimits(hostLimits), onLimit: limitReporter('readiness'),
		async handler(request, response) {
			request.resume();
			response.writeHead(isReady() ? 200 : 503, {'content-length': 0}).end();
		},
	});
	const pruning = setInterval(() => {
		view.prune(monotonicNowMs());
	}, pruneMs);
	metrics.gauge('retry_credit', 'Further attempts that this entry may make without a grant of a core host.', retryBudget.creditLeft);
	metrics.gauge('open_requests', 'Requests that are being answered.', front.openRequests);
	metrics.gauge('waiting_requests', 'Requests that wait for an endpoint.', waitQueue.count);
	metrics.gauge('evacuated_zones', 'Zones that no request is sent to.', () => zones.zoneIds().length);
	metrics.gauge('evacuations_confirmed', 'Whether the evacuated zones were confirmed since the start (1) or not (0).', () => Number(zones.isConfirmed()));
	metrics.gauge('open_connections', 'Connections of callers.', front.openConnections);
	metrics.gauge('request_bytes', 'Memory of the heads and bodies of callers\' requests.', () => front.usage().requestBytes);
	metrics.gauge('unread_answer_bytes', 'Bytes of answers that wait for their callers to read.', () => front.usage().unreadBytes);
	metrics.gauge('configuration_number', 'Number of the configuration in force here.', configuration.number);
	metrics.gauge('key_lease_age_ms', 'Since when the keys in force are surely known.', lease.ageMs);

	const logPhase = (phase: 'serving' | 'draining' | 'closing'): void => {
		logger.event('BP4049', {
			phase, sinceStopMs: sinceStopMs(), openConnections: front.openConnections(), openRequests: front.openRequests(),
		});
	};

	/** Resolves once all callers' connections are closed, or at `untilMs`. */
	const waitUntilClosed = async (untilMs: number): Promise<void> => {
		while (performance.now() < untilMs && front.openConnections() > 0) {
			await delay(Math.min(idlePollMs, untilMs - performance.now()));
		}
	};

	const close = (): void => {
		if (isClosed) {
			return;
		}

		isClosed = true;
		clearInterval(observing);
		clearInterval(pruning);
		clearInterval(relaying);
		clearInterval(exchangingDemand);
		client.close();
		quarantine.close();
		limits.close();
		listener.close();
		connections.close();
		front.destroy();
		readiness.destroy();
	};

	return {
		address: front.address,
		readinessAddress: readiness.address,
		isReady,
		async stop() {
			isLeaving = true;
			isReady();
			const startedAtMs = performance.now();
			stoppedAtMs = startedAtMs;
			abortsAtMs = startedAtMs + (bounds.graceMs * runningShare);
			logPhase('serving');
			front.announceClose();
			const servingMs = bounds.graceMs * servingShare;
			// Callers keep using their connections, and each answer asks them to close (`connection: close`): closing a connection while a request is sent on it would lose the request.
			while (performance.now() < startedAtMs + servingMs && (front.openConnections() > 0 || performance.now() < startedAtMs + Math.min(balancerDetectionMs, servingMs))) {
				await delay(idlePollMs);
			}

			logPhase('draining');
			front.closeWhenIdle();
			await waitUntilClosed(abortsAtMs);
			logPhase('closing');
			for (const {cancellation} of openCalls) {
				cancellation.abort('shutdown' satisfies CancelCause);
			}

			// Timers of a busy host fire late, so this time may have passed before the answers are sent.
			await waitUntilClosed(Math.max(startedAtMs + (bounds.graceMs * openShare), performance.now() + minFlushMs));
			close();
		},
		close,
	};
};
