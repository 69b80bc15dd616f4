import {randomUUID} from 'node:crypto';
import {
	announcementsSince, createRegistry, recordAnnouncement, isLaterStart, pruneRegistry, withdraw,
	type Announcement, type Clock, type LossTolerance, type RetryTerms, type VoterPlace,
} from '@bitternpaddle/coordination';
import {consensusEnvelopesSchema, rpcErrorCodes, standbyParametersSchema} from '@bitternpaddle/protocol';
import {unknownStartMs, type Departure, type Document} from '@bitternpaddle/state';
import {
	callRpc, createHttpServer, createLimitReporter, createRpcServer, RpcError, type HttpServer, type Logger,
} from '@bitternpaddle/transport';
import {createCoreClient, type CoreClient} from '../link/core-client.js';
import {createEvacuatedZones} from '../link/evacuated-zones.js';
import {
	announceParametersSchema, clockParametersSchema, clockResultSchema, departParametersSchema, permitParametersSchema, readParametersSchema, readResultSchema, submitParametersSchema,
	submitResultSchema, takeRetriesParametersSchema, watchParametersSchema, withdrawParametersSchema,
	type Follower, type Roster, type SubmitOutcome, type WatchParameters, type WatchResult,
} from '../link/methods.js';
import {createGatewayMetrics, type GatewayMetrics} from '../process/gateway-metrics.js';
import {coreCallLimits, defaultHostLimits} from '../process/host-limits.js';
import {createCoreRelay} from './core-relay.js';
import {announcementOfDeparture, createDepartures, drainingDeparture} from './departures.js';
import {createDocumentLog} from './document-log.js';
import {
	createEvacuationOrders, type EvacuationOrder, type OrderCaller, type OrderResult,
} from './evacuation-orders.js';
import {createFollowers, rosterCacheMs} from './followers.js';
import {createNamedVersions} from './named-versions.js';
import {createPermitService} from './permit-desk.js';
import {createRegionCheck} from './region-check.js';
import {createRetryGrants} from './retry-grants.js';
import {createSubmitOnce} from './submit-once.js';
import type {CoreNode, CoreNodeOptions} from './types.js';
import {createWatchService} from './watch-desk.js';

/** Operators' clients time out after 1 s; a document must be confirmed or reported as unknown before that. */
const forwardTimeoutMs = 900;
const pruneIntervalMs = 5000;
/** Time to wait for a leader before an operator's call fails and must go to another host: an election takes 0.6 to 1.2 s. */
const leaderWaitMs = 700;
const leaderPollIntervalMs = 25;

/** Largest call of another process: a document of 8 MiB, the largest that operators may send, whose quotes are escaped. */
const maxCallBytes = 20 * 1024 * 1024;

const notLeader = (): RpcError => new RpcError(rpcErrorCodes.notLeader, 'this core host does not lead');

/** Applies where the settings state no retry budget. */
const defaultRetryTerms: RetryTerms = {share: 0.2, reserve: 20, windowMs: 10_000};

/** Monotonic clock for announcements and followers; only the log's leases must also count the time that a host was suspended. */
const monotonicNowMs = (): number => performance.now();

/** Starts a core host: a member of the log if it has a disk, otherwise a relay to the members. */
export const createCoreNode = async (options: CoreNodeOptions): Promise<CoreNode> => {
	const {folder} = options;
	return folder === null ? createCoreRelay(options) : createLogNode({...options, folder});
};

/** A core host with a disk: its replica of the document log, the endpoint announcements and its followers. */
const createLogNode = async (options: CoreNodeOptions & {readonly folder: string}): Promise<CoreNode> => {
	const {
		selfAddress, zoneId, regionId, folder, isFirstStart, seeds, toleratedLosses, toleratedZoneLosses = 0, toleratedRegionLosses = 0, evacuationMs = null,
		regionsByZone = new Map<string, string>(), retryTerms = defaultRetryTerms, clock, logger, metrics = createGatewayMetrics(),
		hostLimits = defaultHostLimits,
	} = options;
	const epoch = randomUUID();
	const self: Follower = {
		role: 'core', address: selfAddress, zoneId, regionId, endpointAddress: null, serviceName: null, hasLog: true, readsDepartures: true,
	};
	const registry = createRegistry();
	const followers = createFollowers();
	const permitService = createPermitService({
		engineCount: serviceName => [...registry.entries.values()].filter(({announcement}) => announcement.serviceName === serviceName && announcement.state === 'ready').length,
		nowMs: monotonicNowMs,
	});
	const evacuatedZones = createEvacuatedZones({logger});
	const namedVersions = createNamedVersions({nowMs: monotonicNowMs});
	let client: CoreClient | null = null;

	const otherAddresses = (): string[] => [...new Set([...seeds(), ...log.memberAddresses(), ...client?.addresses() ?? []])].filter(address => address !== selfAddress);

	const recordVersions = (): void => {
		namedVersions.recordLog(log.state().versions);
	};

	/** Logs what changed; this host itself uses the evacuations for nothing else. */
	const recordEvacuations = (): void => {
		const {evacuations} = log.state();
		evacuatedZones.recordResult({evacuations, freshAgeMs: null}, monotonicNowMs());
	};

	const required: LossTolerance = {hosts: toleratedLosses, zones: toleratedZoneLosses, regions: toleratedRegionLosses};
	const places = new Map<string, VoterPlace>([[selfAddress, {zoneId, regionId}]]);
	const log = await createDocumentLog({
		selfAddress, folder, isFirstStart, seeds, clock, logger, metrics, otherAddresses,
		required, voterCount: (2 * toleratedLosses) + 1, placeOf: address => places.get(address) ?? null,
		onChange() {
			setImmediate(() => {
				recordVersions();
				recordEvacuations();
				departures.update();
				watchService.wake();
			});
		},
	});

	/** Core hosts of earlier versions, which cannot read departures. */
	const earlierCoreHosts = new Set<string>();
	const hasEarlierMember = (): boolean => log.memberAddresses().some(address => earlierCoreHosts.has(address));
	const departures = createDepartures({
		log, nowMs: monotonicNowMs,
		isReadable: () => !hasEarlierMember(),
		onDeparture(departure) {
			recordAnnouncement(registry, {...announcementOfDeparture(departure), ageMs: 0}, monotonicNowMs());
		},
	});
	departures.update();
	metrics.gauge('core_departures', 'Endpoints that the log holds as having left or leaving.', departures.count);

	const retryGrants = createRetryGrants({
		terms: retryTerms, isFirstStart: log.isFirstStart(), voterView: () => ({voterCount: log.voterCount(), freshAgeMs: log.freshAgeMs()}), logger, metrics, nowMs: monotonicNowMs,
	});
	metrics.gauge('evacuated_zones', 'Availability zones that are evacuated.', () => log.state().evacuations.zoneIds.length);
	metrics.gauge('evacuation_revision', 'Revision of the evacuated zones known here.', () => log.state().evacuations.revision);

	const versionsHash = (): string => JSON.stringify(log.state().versions);

	const configurationNumber = (): number => log.state().configuration?.number ?? -1;

	/** Core hosts that processes should follow. */
	const followableAddresses = (): string[] => [...new Set([selfAddress, ...log.diskAddresses()])];

	const rosterOf = (follower: Follower): Roster => followers.roster(follower, followableAddresses(), monotonicNowMs());

	const hasRosterUpdate = ({follower, rosterHash}: WatchParameters): boolean => rosterHash !== null && rosterOf(follower).hash !== rosterHash;

	const answer = (parameters: WatchParameters): WatchResult => {
		const nowMs = monotonicNowMs();
		// Includes versions named before this process started, for which no change event arrives.
		recordVersions();
		followers.record(parameters.follower, nowMs);
		if (parameters.follower.role === 'core') {
			const {address, zoneId, regionId, hasLog = false, readsDepartures = false} = parameters.follower;
			places.set(address, {zoneId, regionId});
			if (hasLog && !readsDepartures) {
				earlierCoreHosts.add(address);
			} else {
				earlierCoreHosts.delete(address);
			}
		}

		return {
			epoch, position: registry.position,
			zoneId,
			announcements: parameters.follower.role === 'agent' ? [] : announcementsSince(registry, parameters.epoch === epoch ? parameters.position : 0, nowMs),
			configurationNumber: configurationNumber(), versionsHash: versionsHash(),
			freshAgeMs: log.freshAgeMs(),
			versions: namedVersions.report(),
			roster: hasRosterUpdate(parameters) ? rosterOf(parameters.follower) : null,
			evacuations: log.state().evacuations,
		};
	};

	const watchService = createWatchService({
		answer,
		hasUpdate: parameters => parameters.epoch !== epoch || parameters.versionsHash !== versionsHash()
			|| (parameters.follower.role !== 'agent' && registry.urgentPosition > parameters.position)
			|| (parameters.follower.role === 'entry' && parameters.configurationNumber < configurationNumber())
			|| (parameters.evacuationRevision !== null && parameters.evacuationRevision < log.state().evacuations.revision)
			|| hasRosterUpdate(parameters),
	});

	const submitOnce = createSubmitOnce({
		current: () => log.state().configuration,
		propose: log.propose,
	});

	const submitLocally = async (document: Document): Promise<SubmitOutcome> => {
		if (!log.isLeader()) {
			throw notLeader();
		}

		return submitOnce(document);
	};

	const readLocally = async (): Promise<string | null> => {
		if (!log.isLeader()) {
			throw notLeader();
		}

		await log.confirm();
		return log.state().configuration?.text ?? null;
	};

	const orders = createEvacuationOrders({
		evacuationMs, epoch, log, clock, logger, metrics,
		// The evacuation of a zone that has been removed from the settings can still be revoked.
		isKnownZone: zone => regionsByZone.has(zone) || log.state().evacuations.zoneIds.includes(zone),
		leaderCalls: {
			async readClock(address, timeoutMs) {
				return clockResultSchema.parse(await callRpc<unknown>({
					address, method: 'gateway.clock', params: {}, timeoutMs,
				}));
			},
			async submit(address, order, timeoutMs) {
				return submitResultSchema.parse(await callRpc<unknown>({
					address, method: 'gateway.submit', params: order, timeoutMs,
				})).outcome;
			},
		},
	});

	/** Runs a call at the leader, local or remote, and waits briefly for an election if there is none. */
	const callLeader = async <Result>(locally: () => Promise<Result>, remotely: (address: string) => Promise<Result>): Promise<Result> => {
		const deadlineAtMs = performance.now() + leaderWaitMs;
		for (;;) {
			try {
				const address = log.leaderAddress();
				return await (log.isLeader() || address === null ? locally() : remotely(address));
			} catch (error) {
				const isOtherError = (error as {code?: number}).code !== rpcErrorCodes.notLeader;
				if (isOtherError || performance.now() > deadlineAtMs) {
					throw error;
				}
			}

			await new Promise(resolve => {
				setTimeout(resolve, leaderPollIntervalMs);
			});
		}
	};

	/** Returns whether a majority has stored the departure, so that it outlasts a restart of all processes. While the core hosts are being updated, memory has to do. */
	const storeDeparture = async (departure: Departure): Promise<boolean> => {
		if (hasEarlierMember() || departures.isRecorded(departure, registry.entries.get(departure.id)?.readySequence ?? -1)) {
			return true;
		}

		const {id: endpointId, state, startedAtMs} = departure;
		const receivedAtMs = monotonicNowMs();
		try {
			await callLeader(async () => departures.append(departure), async address => {
				await callRpc<unknown>({
					address, method: 'gateway.depart', params: {departure}, timeoutMs: forwardTimeoutMs,
				});
			});
			logger.event('BP4075', {
				endpointId, state, startedAtMs, tookMs: Math.round(monotonicNowMs() - receivedAtMs),
			});
			return true;
		} catch (error) {
			metrics.count('departures_unconfirmed', 'Departures of endpoints that were not acknowledged because no majority confirmed them in time.');
			logger.event('BP4076', {
				endpointId, state, startedAtMs, reason: (error as Error).message,
			});
			return false;
		}
	};

	const announce = async (announcement: Announcement): Promise<boolean> => {
		const known = registry.entries.get(announcement.id)?.announcement;
		const isAccepted = recordAnnouncement(registry, {...announcement, ageMs: 0}, monotonicNowMs());
		if (isAccepted && (known?.state !== announcement.state || isLaterStart(known, announcement))) {
			logger.event('BP4009', {
				endpointId: announcement.id, address: announcement.address, state: announcement.state, startedAtMs: announcement.startedAtMs, sequence: announcement.sequence,
			});
		}

		watchService.wake();
		return announcement.state === 'ready' || storeDeparture(drainingDeparture(announcement));
	};

	const withdrawEndpoint = async (id: string, startedAtMs: number | null): Promise<boolean> => {
		const known = registry.entries.get(id)?.announcement;
		if (withdraw(registry, id, startedAtMs)) {
			logger.event('BP4009', {endpointId: id, state: 'gone'});
		}

		watchService.wake();
		return storeDeparture({state: 'gone', id, startedAtMs: startedAtMs ?? known?.startedAtMs ?? unknownStartMs});
	};

	/** Rejects a forwarded call that must not be acknowledged, so that the sender tries another core host. */
	const requireStored = (isStored: boolean): true => {
		if (!isStored) {
			throw new RpcError(rpcErrorCodes.noQuorum, 'no majority of the core hosts has confirmed the departure');
		}

		return true;
	};

	const rpc = createRpcServer({bodyLimitBytes: maxCallBytes});
	rpc.method('gateway.announce', announceParametersSchema, async ({announcement}) => requireStored(await announce(announcement)));
	rpc.method('gateway.withdraw', withdrawParametersSchema, async ({id, startedAtMs}) => requireStored(await withdrawEndpoint(id, startedAtMs)));
	rpc.method('gateway.depart', departParametersSchema, async ({departure}) => {
		// The sender may not have heard of the endpoint since its own start.
		const known = registry.entries.get(departure.id)?.announcement;
		await departures.append(departure.startedAtMs === unknownStartMs && known !== undefined ? {...departure, startedAtMs: known.startedAtMs} : departure);
		return {};
	});
	rpc.method('consensus.messages', consensusEnvelopesSchema, ({envelopes}) => {
		for (const envelope of envelopes) {
			log.receive(envelope);
		}
	});
	rpc.method('control.standby', standbyParametersSchema, ({memberId, isForwarded}) => {
		log.recordStandby(memberId, isForwarded);
	});
	rpc.method('gateway.watch', watchParametersSchema, async parameters => {
		if (parameters.requestReport !== null) {
			retryGrants.recordReport(parameters.follower.address, parameters.requestReport);
		}

		return watchService.watch(parameters);
	});
	rpc.method('gateway.takeRetries', takeRetriesParametersSchema, ({serviceName, count}) => retryGrants.grant(serviceName, count));
	rpc.method('gateway.configuration', readParametersSchema, () => log.state().configuration);
	rpc.method('gateway.submit', submitParametersSchema, async ({document, expiry}) => ({
		outcome: await (document.kind === 'evacuation' ? orders.append(document, expiry) : submitLocally(document)),
	}));
	rpc.method('gateway.clock', clockParametersSchema, () => {
		if (!log.isLeader()) {
			throw notLeader();
		}

		return orders.readClock();
	});
	rpc.method('gateway.read', readParametersSchema, async () => ({text: await readLocally()}));
	rpc.method('gateway.permit', permitParametersSchema, async ({agentAddress, serviceName, isDone}) => {
		if (isDone) {
			permitService.releasePermit(agentAddress);
			return {isGranted: false};
		}

		if (!log.isLeader()) {
			throw notLeader();
		}

		return {isGranted: await permitService.requestPermit(agentAddress, serviceName)};
	});

	const server: HttpServer = await createHttpServer({
		listen: selfAddress, limits: coreCallLimits(hostLimits), onLimit: createLimitReporter({listener: 'internal', logger, count: metrics.limit}),
		handler: async (request, response) => rpc.serve(request, response),
	});
	client = createCoreClient({
		self, clock, logger,
		wantsConfiguration: () => false,
		configurationNumber,
		onConfiguration: () => undefined,
		seeds: () => [...seeds(), ...log.memberAddresses()],
		onResult(result) {
			namedVersions.recordReported(result.versions);
			let hasUpdate = false;
			for (const announcement of result.announcements) {
				hasUpdate = recordAnnouncement(registry, announcement, monotonicNowMs(), 'host') || hasUpdate;
			}

			if (hasUpdate) {
				recordVersions();
				watchService.wake();
			}
		},
	});
	const pruneTimer = setInterval(() => {
		pruneRegistry(registry, monotonicNowMs());
	}, pruneIntervalMs);
	const rosterTimer = setInterval(() => {
		retryGrants.tick();
		// A roster that is too young to be rebuilt now is rebuilt at the next tick. If agents received it only at
		// their next poll, an entry that has just joined would get no reports from them for up to four seconds.
		if (followers.isStale()) {
			watchService.wake();
		}
	}, rosterCacheMs);

	const close = async (): Promise<void> => {
		clearInterval(pruneTimer);
		clearInterval(rosterTimer);
		client?.close();
		watchService.close();
		permitService.close();
		orders.close();
		server.destroy();
		await log.close();
	};

	return {
		async submit(document) {
			try {
				const outcome = await callLeader(async () => submitLocally(document), async address => {
					const response = await callRpc<unknown>({
						address, method: 'gateway.submit', params: {document}, isCompressed: true, timeoutMs: forwardTimeoutMs,
					});
					return submitResultSchema.parse(response).outcome;
				});
				logger.event('BP4007', {kind: document.kind, number: document.kind === 'configuration' ? document.number : document.version, outcome});
				return outcome;
			} catch (error) {
				logger.event('BP4007', {kind: document.kind, outcome: 'unknown', reason: (error as Error).message});
				return 'unknown';
			}
		},
		logRegionProblems: createRegionCheck({regionsByZone, logger}),
		submitEvacuation: orders.submit,
		arrivedAtMs: orders.arrivedAtMs,
		async read() {
			try {
				const text = await callLeader(readLocally, async address => {
					const response = await callRpc<unknown>({
						address, method: 'gateway.read', params: {}, isCompressed: true, timeoutMs: forwardTimeoutMs,
					});
					return readResultSchema.parse(response).text;
				});
				return text === null ? {type: 'none'} : {type: 'text', text};
			} catch (error) {
				return {type: 'unsure', reason: (error as Error).message};
			}
		},
		announce,
		withdraw: withdrawEndpoint,
		isLeader: log.isLeader,
		async stop() {
			await log.leave();
			await close();
		},
		close,
	};
};
