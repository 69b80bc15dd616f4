import {setTimeout as delay} from 'node:timers/promises';
import {
	createArrivalRate, createCallerPatience, createObjectiveMix, createRandom, createRetryAllowance, createSpareRoom, type Clock,
} from '@bitternpaddle/coordination';
import {createHttpServer, type Logger} from '@bitternpaddle/transport';
import {createCoreClient} from '../link/core-client.js';
import type {Follower} from '../link/methods.js';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {createConfigurationHolder} from '../link/configuration-holder.js';
import type {RequestProtocol} from '../link/request-protocol.js';
import {createWantedVersions} from '../link/wanted-versions.js';
import {createEndpointLimits} from '../limits/endpoint-limits.js';
import {createRequestQuarantine} from '../quarantine/request-quarantine.js';
import {createLoadListener} from '../load/load-listener.js';
import {createLoadRelay, turnMs} from '../load/load-relay.js';
import {noRelay, planRelay, type RelayPlan} from '../load/relay-plan.js';
import {createByName} from './by-name.js';
import {createEndpointConnections} from './endpoint-connections.js';
import {createEndpointView} from './endpoint-view.js';
import {createEntryLease} from './entry-lease.js';
import {createFrontServer} from './front-server.js';
import {createWaitingRoom} from './waiting-room.js';
import type {CallContext} from './call-context.js';
import {runCall} from './run-call.js';
import {serveRequest} from './serve-request.js';

/** Bounds that the deployment sets. */
export type EntryBounds = {
	/** A revoked key is dead everywhere within this. */
	readonly revocationMs: number;
	/** No request begins on older weights later than this after new ones were named. */
	readonly versionDueMs: number;
	readonly retryShare: number;
	readonly retryWindowMs: number;
	/** Further attempts for one service in a window that all entries share, beside the share. */
	readonly retryReserve: number;
	/** Between the order to stop and the end of the process. */
	readonly graceMs: number;
};

export type EntryNodeOptions = {
	/** Where other processes of the system reach this one. */
	readonly selfAddress: string;
	readonly zoneId: string;
	readonly regionId: string;
	/** Where callers connect to. */
	readonly listen: string;
	/** Where readiness is asked for. */
	readonly readinessListen: string;
	seeds(): readonly string[];
	readonly protocol: RequestProtocol;
	readonly bounds: EntryBounds;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	/** Seed of the choices that are left to chance. */
	readonly randomSeed: number;
};

export type EntryNode = {
	readonly address: string;
	readonly readinessAddress: string;
	isReady(): boolean;
	/** Graceful: not ready at once, serves on for most of the grace, then ends. */
	stop(): Promise<void>;
	close(): void;
};

const pruneMs = 5000;
/**
 * Share of the grace in which callers may still use open connections. Later
 * requests would be cut at its end: the longest streams take half of it.
 */
const servingShare = 0.42;
/**
 * New callers still come for as long as a balancer takes to notice: it asks every
 * second, and goes by two answers. Until then they must find the entry listening,
 * also where no connection is open when it is told to end.
 */
const noticeMs = 2500;
/** Before the end of the grace whatever still runs is cut, so that the process ends by itself. */
const lastMomentsMs = 250;
const idlePollMs = 50;
/** For all but the lease: the time of day may step, and everything would look late or overdue. */
const steadyNowMs = (): number => performance.now();

/** One entry: callers on one side, endpoints on the other. */
export const createEntryNode = async (options: EntryNodeOptions): Promise<EntryNode> => {
	const {
		selfAddress, zoneId, regionId, seeds, protocol, bounds, clock, logger, metrics,
	} = options;
	const self: Follower = {
		role: 'entry', address: selfAddress, zoneId, regionId, endpointAddress: null, serviceName: null,
	};
	const random = createRandom(options.randomSeed);
	let peers: readonly string[] = [];
	const quarantine = createRequestQuarantine({
		peers: () => peers, logger, metrics, random, nowMs: steadyNowMs,
		send(data, addresses) {
			listener.datagrams.send(data, addresses);
		},
	});
	const limits = createEndpointLimits({
		selfAddress, peers: () => peers, logger, metrics, random, nowMs: steadyNowMs,
		send(data, addresses) {
			listener.datagrams.send(data, addresses);
		},
	});
	const view = createEndpointView({onRestart: quarantine.noteRestarted});
	const connections = createEndpointConnections();
	const room = createWaitingRoom();
	const versions = createWantedVersions({dueMs: bounds.versionDueMs, startedAtMs: steadyNowMs()});
	const patience = createByName(createCallerPatience);
	const sending = createByName(createArrivalRate);
	const objectives = createByName(createObjectiveMix);
	const spareRoom = createByName(createSpareRoom);
	const allowance = createByName(() => createRetryAllowance({windowMs: bounds.retryWindowMs, share: bounds.retryShare}));
	let entryCount = 1;
	let relayPlan: RelayPlan = noRelay;
	let isLeaving = false;
	let isClosed = false;
	let endsAtMs = Number.POSITIVE_INFINITY;
	let wasReady = false;

	const configuration = createConfigurationHolder({
		protocol, logger,
		onChange(table) {
			front.setIdleTimeout(table.configuration.limits.idleTimeoutMs);
			// Routes come and go with each configuration.
			patience.keepOnly(table.configuration.routes.map(({name}) => name));
		},
	});

	const lease = createEntryLease({
		revocationMs: bounds.revocationMs, clock, random, logger, configurationNumber: configuration.number,
		reachesCore: () => client.liveAddresses().length > 0,
		askCore() {
			client.refresh();
		},
	});

	const context: CallContext = {
		protocol, connections, view, room, quarantine, limits, zoneId, random, logger, metrics, holdsLease: lease.holds, lostCoreRetryMs: lease.retryMs,
		allowance: allowance.of, sending: sending.of, objectives: objectives.of, spareRoom: spareRoom.of,
		entryCount: () => entryCount,
		leftMs: () => endsAtMs - lastMomentsMs - steadyNowMs(),
		nowMs: steadyNowMs,
		retryReserve: () => bounds.retryReserve / entryCount,
		dues: versions.dues,
	};
	const waitWhile = async (isMissing: () => boolean, mostMs: number): Promise<void> => {
		const untilMs = steadyNowMs() + mostMs;
		while (isMissing() && steadyNowMs() < untilMs) {
			await room.nextLook();
		}
	};

	const front = await createFrontServer({
		listen: options.listen,
		serve: async (request, response, connection) => serveRequest({
			patience: patience.of,
			protocol, random, logger, metrics, holdsLease: lease.holds, lostCoreRetryMs: lease.retryMs, table: configuration.table, isLeaving: () => isLeaving, nowMs: steadyNowMs,
			run: async call => runCall(context, call),
			awaitConfiguration: async mostMs => waitWhile(() => configuration.table() === null, mostMs),
			awaitLease: async mostMs => waitWhile(() => !lease.hasHeld() && !lease.holds(), mostMs),
		}, request, response, connection),
		onError(error) {
			logger.event('BP9003', {message: error.stack ?? error.message});
		},
	});
	const client = createCoreClient({
		self, seeds, clock, logger, configurationNumber: configuration.number, wantsConfiguration: () => true,
		onConfiguration(document) {
			configuration.take(document);
			lease.settle();
		},
		onResult(result, askedAtMs) {
			const nowMs = steadyNowMs();
			view.hear(result.announcements, nowMs);
			versions.hear(result, nowMs);
			if (result.roster !== null) {
				entryCount = Math.max(1, result.roster.entryCount);
				relayPlan = planRelay(self, result.roster.followers);
				peers = result.roster.followers.filter(({role, address}) => role === 'entry' && address !== selfAddress).map(({address}) => address);
				limits.sync();
			}

			if (result.freshAgeMs !== null) {
				lease.hear({number: result.configurationNumber, freshAtMs: askedAtMs - result.freshAgeMs});
			}
		},
	});
	const listener = await createLoadListener({
		listen: selfAddress,
		onReport(heard) {
			view.hearReport(heard, steadyNowMs());
			if (heard.report === null) {
				quarantine.noteEnded(heard.endpointAddress);
			}
		},
		onMessage(message) {
			relay.hear(message, steadyNowMs());
		},
		onOther: data => quarantine.hear(data) || limits.hear(data),
		onError(error) {
			logger.event('BP9003', {message: error.message});
		},
	});

	const relay = createLoadRelay({plan: () => relayPlan, delayMs: view.pathDelayMs, send: listener.send});
	const relaying = setInterval(() => {
		relay.tell(steadyNowMs());
	}, turnMs);

	const isReady = (): boolean => {
		const ready = !isLeaving && configuration.table() !== null && lease.holds();
		if (ready !== wasReady) {
			wasReady = ready;
			logger.event('BP4027', {isReady: ready, isLeaving, configurationNumber: configuration.number()});
		}

		return ready;
	};

	const readiness = await createHttpServer({
		listen: options.readinessListen,
		async handler(request, response) {
			request.resume();
			response.writeHead(isReady() ? 200 : 503, {'content-length': 0}).end();
		},
	});
	const pruning = setInterval(() => {
		view.prune(steadyNowMs());
	}, pruneMs);
	metrics.gauge('open_requests', 'Requests that are being answered.', front.openRequests);
	metrics.gauge('waiting_requests', 'Requests that wait for an endpoint.', room.count);
	metrics.gauge('open_connections', 'Connections of callers.', front.openConnections);
	metrics.gauge('configuration_number', 'Number of the configuration in force here.', configuration.number);
	metrics.gauge('key_lease_age_ms', 'Since when the keys in force are surely known.', lease.ageMs);

	const close = (): void => {
		if (isClosed) {
			return;
		}

		isClosed = true;
		clearInterval(pruning);
		clearInterval(relaying);
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
			endsAtMs = startedAtMs + bounds.graceMs;
			const servingMs = bounds.graceMs * servingShare;
			// Callers go on with the connections they have, and learn with each answer that they must not: closing one under a request would lose it.
			while (performance.now() < startedAtMs + servingMs && (front.openConnections() > 0 || performance.now() < startedAtMs + Math.min(noticeMs, servingMs))) {
				await delay(idlePollMs);
			}

			front.closeListener();
			while (performance.now() < endsAtMs - lastMomentsMs && front.openConnections() > 0) {
				front.closeIdle();
				await delay(idlePollMs);
			}

			close();
		},
		close,
	};
};
