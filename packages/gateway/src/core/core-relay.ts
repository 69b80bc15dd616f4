import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {rpcErrorCodes, standbyParametersSchema} from '@bitternpaddle/protocol';
import {
	callRpc, createHttpServer, createLimitReporter, createRpcServer, RpcError, TransportError, type HttpServer,
} from '@bitternpaddle/transport';
import {createCoreClient} from '../link/core-client.js';
import {
	clockResultSchema, readParametersSchema, readResultSchema, submitResultSchema, watchParametersSchema, type SubmitOutcome, type WatchParameters, type WatchResult,
} from '../link/methods.js';
import {createGatewayMetrics} from '../process/gateway-metrics.js';
import {coreCallLimits, defaultHostLimits} from '../process/host-limits.js';
import {createEvacuationOrders} from './evacuation-orders.js';
import {createRegionCheck} from './region-check.js';
import type {CoreNode, CoreNodeOptions, OperatorDocument} from './types.js';

export type CoreRelayOptions = Omit<CoreNodeOptions, 'folder'>;

/** Operators' clients time out after 1 s; a document must be confirmed or reported as unknown before that. */
const leaderTimeoutMs = 900;
/** Time to wait for a leader before an operator's call fails and must go to another host: an election takes 0.6 to 1.2 s. */
const leaderWaitMs = 700;
const leaderPollIntervalMs = 50;
/** Time within which a core host must record an announcement before it is sent to the next one. */
const announceTimeoutMs = 300;
/** Likewise for a departure, which a majority has to store; endpoints call another host after 1 s. */
const departTimeoutMs = 450;
/** Allowance beyond the duration of a follower's long poll; below that of the follower. */
const watchSlackMs = 400;
const configurationTimeoutMs = 700;
/** Largest call that is forwarded. */
const maxCallBytes = 1024 * 1024;
/** Duration of the long polls by which this host learns of the core hosts; the longest that they allow. */
const watchWaitMs = 4000;
/** A core host that has polled this host within this time may be called. */
const callerValidMs = 15_000;

const noCoreHost = (): RpcError => new RpcError(rpcErrorCodes.noQuorum, 'no core host with a disk is known');

const isNotLeader = (error: unknown): boolean => (error as {code?: unknown}).code === rpcErrorCodes.notLeader;

/**
 * A core host without a disk. It stores nothing and forwards every call to the core hosts
 * that keep the log, so that it costs the same however many of them there are.
 */
export const createCoreRelay = async (options: CoreRelayOptions): Promise<CoreNode> => {
	const {
		selfAddress, zoneId, regionId, seeds, evacuationMs = null, regionsByZone = new Map<string, string>(), clock, logger, metrics = createGatewayMetrics(),
		hostLimits = defaultHostLimits,
	} = options;
	const epoch = randomUUID();
	let rosterAddresses: readonly string[] = [];
	let evacuatedZoneIds: readonly string[] = [];
	let leaderAddress: string | null = null;
	/** Core hosts with a disk that follow this host as a seed, with the time of their latest poll. */
	const callersSeenAtMs = new Map<string, number>();

	const liveCallers = (): string[] => [...callersSeenAtMs].filter(([, seenAtMs]) => clock.nowMs() - seenAtMs < callerValidMs).map(([address]) => address);

	const client = createCoreClient({
		self: {
			role: 'core', address: selfAddress, zoneId, regionId, endpointAddress: null, serviceName: null, hasLog: false,
		},
		clock, logger, waitMs: watchWaitMs, wantsAnnouncements: false,
		seeds: () => [...seeds(), ...liveCallers()],
		wantsConfiguration: () => false,
		configurationNumber: () => -1,
		onConfiguration: () => undefined,
		onResult(result) {
			rosterAddresses = result.roster?.coreAddresses ?? rosterAddresses;
			evacuatedZoneIds = result.evacuations?.zoneIds ?? evacuatedZoneIds;
		},
	});

	/** Core hosts with a disk. Those that respond come first, and of these the ones in this zone. */
	const coreAddresses = (): string[] => {
		const known = [...new Set([...rosterAddresses, ...liveCallers()])];
		const live = client.liveAddresses().filter(address => known.includes(address));
		const near = live.filter(address => client.zoneOf(address) === zoneId);
		return [...new Set([...near, ...live, ...known])];
	};

	/** Calls the core hosts one after the other until one responds; for calls that may be repeated. */
	const callAny = async (method: string, parameters: object, timeoutMs: number): Promise<unknown> => {
		let failure: unknown = noCoreHost();
		for (const address of coreAddresses()) {
			try {
				return await callRpc<unknown>({
					address, method, params: parameters, timeoutMs, isCompressed: true,
				});
			} catch (error) {
				failure = error;
			}
		}

		throw failure;
	};

	/** Calls the leader, which is the core host that doesn't reject the call as not leading. */
	const callLeader = async (method: string, parameters: object): Promise<unknown> => {
		const deadlineAtMs = performance.now() + leaderWaitMs;
		for (;;) {
			const addresses = coreAddresses();
			for (const address of new Set(leaderAddress === null ? addresses : [leaderAddress, ...addresses])) {
				try {
					const result = await callRpc<unknown>({
						address, method, params: parameters, timeoutMs: leaderTimeoutMs, isCompressed: true,
					});
					leaderAddress = address;
					return result;
				} catch (error) {
					leaderAddress = null;
					const isCertainlyRejected = isNotLeader(error) || (error instanceof TransportError && error.isUnsent);
					if (!isCertainlyRejected) {
						throw error;
					}
				}
			}

			if (performance.now() > deadlineAtMs) {
				throw new RpcError(rpcErrorCodes.notLeader, 'no core host leads');
			}

			await delay(leaderPollIntervalMs);
		}
	};

	/** Rejected attempts of orders; each next attempt goes to another core host until the leader is found. */
	let orderAttempt = 0;
	const nextLeaderAddress = (): string | null => {
		const addresses = coreAddresses();
		return leaderAddress ?? addresses[orderAttempt % Math.max(1, addresses.length)] ?? null;
	};

	const callOrderedLeader = async (address: string, method: string, parameters: object, timeoutMs: number): Promise<unknown> => {
		try {
			const result = await callRpc<unknown>({
				address, method, params: parameters, timeoutMs,
			});
			leaderAddress = address;
			return result;
		} catch (error) {
			leaderAddress = null;
			orderAttempt++;
			throw error;
		}
	};

	const orders = createEvacuationOrders({
		evacuationMs, epoch, clock, logger, metrics,
		log: {
			isLeader: () => false,
			leaderAddress: nextLeaderAddress,
			async propose() {
				throw new RpcError(rpcErrorCodes.notLeader, 'a core host without a disk never leads');
			},
		},
		isKnownZone: zone => regionsByZone.has(zone) || evacuatedZoneIds.includes(zone),
		leaderCalls: {
			readClock: async (address, timeoutMs) => clockResultSchema.parse(await callOrderedLeader(address, 'gateway.clock', {}, timeoutMs)),
			submit: async (address, order, timeoutMs) => submitResultSchema.parse(await callOrderedLeader(address, 'gateway.submit', order, timeoutMs)).outcome,
		},
	});

	/** Forwards a poll; while no core host responds, it is answered without updates when its wait is over. */
	const watch = async (parameters: WatchParameters): Promise<unknown> => {
		const answerAtMs = performance.now() + Math.min(parameters.waitMs, watchWaitMs);
		try {
			return await callAny('gateway.watch', parameters, parameters.waitMs + watchSlackMs);
		} catch {
			await delay(Math.max(0, answerAtMs - performance.now()));
			return {
				epoch, position: 0, announcements: [], zoneId, configurationNumber: -1, versionsHash: '', freshAgeMs: null, versions: [], roster: null, evacuations: null,
			} satisfies WatchResult;
		}
	};

	const forwardAnnouncement = async (method: string, parameters: object, timeoutMs = announceTimeoutMs): Promise<boolean> => {
		try {
			await callAny(method, parameters, timeoutMs);
			return true;
		} catch {
			return false;
		}
	};

	const rpc = createRpcServer({bodyLimitBytes: maxCallBytes});
	rpc.method('gateway.watch', watchParametersSchema, async parameters => {
		const {address, role, hasLog} = parameters.follower;
		if (role === 'core' && hasLog) {
			callersSeenAtMs.set(address, clock.nowMs());
		}

		return watch(parameters);
	});
	rpc.method('gateway.configuration', readParametersSchema, async () => callAny('gateway.configuration', {}, configurationTimeoutMs));
	rpc.method('control.standby', standbyParametersSchema, async ({memberId}) => {
		await forwardAnnouncement('control.standby', {memberId});
	});
	const server: HttpServer = await createHttpServer({
		listen: selfAddress, limits: coreCallLimits(hostLimits), onLimit: createLimitReporter({listener: 'internal', logger, count: metrics.limit}),
		handler: async (request, response) => rpc.serve(request, response),
	});
	logger.event('BP4013', {});

	const submitToLeader = async (document: OperatorDocument): Promise<SubmitOutcome> => submitResultSchema.parse(await callLeader('gateway.submit', {document})).outcome;

	const close = async (): Promise<void> => {
		client.close();
		orders.close();
		server.destroy();
	};

	return {
		async submit(document) {
			const {kind} = document;
			try {
				const outcome = await submitToLeader(document);
				logger.event('BP4007', {kind, number: kind === 'configuration' ? document.number : document.version, outcome});
				return outcome;
			} catch (error) {
				logger.event('BP4007', {kind, outcome: 'unknown', reason: (error as Error).message});
				return 'unknown';
			}
		},
		logRegionProblems: createRegionCheck({regionsByZone, logger}),
		submitEvacuation: orders.submit,
		arrivedAtMs: orders.arrivedAtMs,
		async read() {
			try {
				const {text} = readResultSchema.parse(await callLeader('gateway.read', {}));
				return text === null ? {type: 'none'} : {type: 'text', text};
			} catch (error) {
				return {type: 'unsure', reason: (error as Error).message};
			}
		},
		announce: async announcement => forwardAnnouncement('gateway.announce', {announcement: {...announcement, ageMs: 0}}, announcement.state === 'ready' ? announceTimeoutMs : departTimeoutMs),
		withdraw: async (id, startedAtMs) => forwardAnnouncement('gateway.withdraw', {id, startedAtMs}, departTimeoutMs),
		isLeader: () => false,
		stop: close,
		close,
	};
};
