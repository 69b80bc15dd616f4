import {randomInt, randomUUID} from 'node:crypto';
import {
	createLossBudget, createPresence, createReportAggregator, forgetHost, formedVoters, hasLeaderLease, recordAggregate, hostOfMember, inForceOf, isInContact, leaseTimes,
	markSilentMembers, planMembership, resetPresence, type LeaderLease,
} from '@bitternpaddle/coordination';
import type {HostReport, Show} from '@bitternpaddle/protocol';
import {
	openLocked, openLogStore, systemId, type Catalog, type Change, type CommandResult, type LogEntry, type Members,
} from '@bitternpaddle/state';
import {
	createHttpServer, rpcPath, sendJson, silentLogger, type HttpServer, type Logger, type Metrics, type ServerLimits,
} from '@bitternpaddle/transport';
import {claimDataFolder, explainFolderError, withFolder} from '../host/data-folder.js';
import {createListenerLimitReporter} from '../host/listener-limit-reporter.js';
import {createRecorder} from '../recording/recorder.js';
import {createConsensusDriver, type ConsensusDriver} from './consensus-driver.js';
import {createControlRpc} from './control-rpc.js';
import {createAggregateSender} from './aggregate-sender.js';
import {handOverLeadership} from './hand-over.js';
import {gatherReports, viewHosts, type SessionReport} from './host-view.js';
import {openMemberIdentity} from './member-identity.js';
import {createPeerSender} from './peer-sender.js';
import {createProposals} from './proposals.js';
import {createReconciler, reconcileIntervalMs} from './reconciler.js';
import {
	applyToReplica, createReplica, type Replica,
} from './replica.js';
import {createRolloutDriver, rolloutIntervalMs} from './rollout-driver.js';
import {createSnapshotTaker} from './snapshot-taker.js';
import {createVoterRepair, repairIntervalMs} from './voter-repair.js';
import {createWatchHub} from './watch-hub.js';

export type ControlNodeOptions = {
	readonly selfId: string;
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Data folder; its contents persist across restarts. */
	readonly folder: string;
	/** Addresses of all control hosts by id, including this one. Read at each send, so a test may fill it after the start. */
	readonly members: Map<string, string>;
	/** Ids of the initial voters. */
	readonly voters: readonly string[];
	/** @default 2500 */
	readonly leaseMs?: number;
	/** A host that sends no report for this long is removed from the configuration. @default 10000 */
	readonly hostLossMs?: number;
	/** Number of log entries after which the log is compacted into a snapshot. @default 8192 */
	readonly snapshotEntries?: number;
	/** A voter that is silent for this long is replaced; longer than a restart takes. @default 15000 */
	readonly replaceAfterMs?: number;
	readonly recordFile?: string;
	/** Resource limits of this host's server. @default {} */
	readonly serverLimits?: ServerLimits;
	/** @default none are sent */
	readonly metrics?: Metrics;
	readonly logger?: Logger;
	/** Called when the log can no longer be written; this host has then stopped serving. */
	onFailed?(error: Error): void;
};

export type ControlNode = {
	readonly selfId: string;
	readonly address: string;
	isLeader(): boolean;
	/** Ids of the members as `host#disk`, as known to this host. */
	members(): Members;
	/** Number of log syncs since the start. */
	syncCount(): number;
	/** Graceful shutdown: transfers the leadership, releases watching hosts to other control hosts, answers pending requests, then exits. */
	stop(): Promise<void>;
	/** Immediate shutdown. */
	close(): Promise<void>;
};

const formationIntervalMs = 100;
/** Subjects whose data changes too often to be reported to the leader continuously; it is gathered per query. */
const detailedSubjects: ReadonlySet<Show['subject']> = new Set(['transfers', 'requests']);

/** Assigns an id to a system that has none; if two leaders each generated one, the first committed id is kept. */
const planSystemName = ({systemId: assignedId}: Catalog): Change[] => assignedId === undefined ? [{type: 'nameSystem', systemId: systemId(randomUUID())}] : [];

/** One control host: the log, the configuration derived from it, and the hosts that watch it. */
export const createControlNode = async (options: ControlNodeOptions): Promise<ControlNode> => {
	const {
		selfId, listen = '127.0.0.1:0', folder, members, voters, leaseMs = leaseTimes.hostLeaseMs, hostLossMs = 10_000, snapshotEntries = 8192,
		replaceAfterMs = 15_000, serverLimits, logger = silentLogger, metrics, onFailed,
	} = options;
	await claimDataFolder(folder, {role: 'control', hostId: selfId});
	const {identity, store, lock} = await withFolder(folder, async () => openLocked(folder, async lock => ({
		identity: await openMemberIdentity({
			hostId: selfId, folder, voters, addressOf: hostId => members.get(hostId),
		}),
		store: await openLogStore({folder}), lock,
	})));
	if (store.loaded.cutBytes > 0) {
		logger.event('BP1002', {cutBytes: store.loaded.cutBytes});
	}

	let replica: Replica = createReplica(store.loaded.snapshot);
	let leadingSinceMs = 0;
	let isStopping = false;
	let handOverCompleted: Promise<unknown> = Promise.resolve();
	let leaderLease: LeaderLease | null = null;
	let lossBudget = createLossBudget();
	const presence = createPresence({hostLeaseMs: leaseMs, memberLeaseMs: leaseTimes.leaderLeaseMs});
	const aggregator = createReportAggregator({memberId: selfId, silentMs: leaseMs, epoch: Date.now()});
	const proposals = createProposals({append: payload => driver.propose(payload)});
	const snapshots = createSnapshotTaker({
		logger, snapshotEntries, replica: () => replica, driver: () => driver,
	});

	const onCommit = (entry: LogEntry): void => {
		const before = replica.state.catalog.revision;
		replica.appliedIndex = entry.index;
		replica.appliedTerm = entry.term;
		const result: CommandResult = entry.payload.type === 'command'
			? applyToReplica(replica, entry.payload.command, entry.index)
			: {type: 'accepted', revision: before};
		proposals.settle(entry, result);
		if (replica.state.catalog.revision !== before) {
			hub.wake();
		}

		snapshots.afterEntry(entry);
	};

	const driver: ConsensusDriver = createConsensusDriver({
		selfId: identity.memberId,
		initialMembers: {voters: formedVoters(identity.formation()), learners: []},
		store,
		seed: randomInt(1, 2_147_483_647),
		recorder: options.recordFile === undefined ? undefined : createRecorder(options.recordFile),
		send: createPeerSender({
			addressOf: memberId => members.get(hostOfMember(memberId)),
			onDrop(to, droppedBytes) {
				logger.event('BP1015', {member: hostOfMember(to), droppedBytes});
			},
		}).send,
		onCommit,
		onSnapshot(snapshot) {
			replica = createReplica(snapshot);
			hub.wake();
		},
		onRoleChange({role, term, leaderId}) {
			logger.event('BP1001', {role, term, leaderId});
			if (role === 'leader') {
				leadingSinceMs = performance.now();
				resetPresence(presence, Object.keys(replica.state.catalog.hosts), performance.now());
				lossBudget = createLossBudget();
			}

			aggregateSender.startForLeader();
			hub.wake();
		},
		onFailure(error) {
			stopServing(error);
		},
	});

	const stopServing = (error: unknown): void => {
		const explained = explainFolderError(error as Error, folder);
		logger.event('BP1007', {message: explained.message});
		server.destroy();
		onFailed?.(explained);
	};

	const isLeader = (): boolean => hasLeaderLease(driver.state, performance.now());

	const leaderAddress = (): string | undefined => {
		const {leaderId} = driver.state;
		return leaderId === null || leaderId === identity.memberId ? undefined : members.get(hostOfMember(leaderId));
	};

	const aggregateSender = createAggregateSender({
		aggregator, isLeader, leaderAddress,
		recordOwnAggregate: message => recordAggregate(presence, message, performance.now()),
		onLeaderLease(lease) {
			leaderLease = lease;
			hub.wake();
		},
	});
	const hub = createWatchHub({
		leaseMs, aggregator,
		replica: () => replica,
		// A leader that holds its lease grants it to itself, as of now.
		currentLeaderLease: () => isLeader() ? {requestedAtMs: Number.POSITIVE_INFINITY, untilMs: Number.POSITIVE_INFINITY, revision: replica.state.catalog.revision} : leaderLease,
	});
	const reconciler = createReconciler({
		proposals, logger, isLeader,
		plan() {
			const nowMs = performance.now();
			markSilentMembers(presence, nowMs);
			const {catalog} = replica.state;
			return [...planSystemName(catalog), ...planMembership({
				catalog, presence, budget: lossBudget, nowMs, hostLossMs,
			})];
		},
		onHostLeft(hostId) {
			forgetHost(presence, hostId);
		},
	});
	const ownReports = (): SessionReport[] => [...aggregator.watchers.values()].map(({session, report}) => ({session, report}));
	const gather = async (): Promise<HostReport[]> => gatherReports([...members].filter(([id]) => id !== selfId).map(([, address]) => address), ownReports());
	const rollouts = createRolloutDriver({
		proposals, presence, logger, isLeader, gather,
		catalog: () => replica.state.catalog,
	});
	const repair = createVoterRepair({
		driver, identity, logger, replaceAfterMs, voterCount: voters.length,
		otherAddresses: () => [...members].filter(([hostId]) => hostId !== selfId).map(([, address]) => address),
		leadingSinceMs: () => leadingSinceMs,
	});
	const rpc = createControlRpc({
		driver, proposals, hub, logger, identity, systemId: () => replica.state.catalog.systemId ?? null, recordStandby: repair.recordAnnouncement, isLeader, leaderAddress, ownReports,
		whenHandedOver: async () => handOverCompleted,
		async view(subject) {
			const gathered = detailedSubjects.has(subject) ? await gather() : [];
			const nowMs = performance.now();
			const {catalog} = replica.state;
			return {
				catalog, registry: viewHosts(presence, gathered, nowMs), inForce: inForceOf(presence, catalog.revision, nowMs), nowMs, leaseMs,
			};
		},
		receiveAggregate: message => recordAggregate(presence, message, performance.now())
			? {type: 'taken', revision: replica.state.catalog.revision, leaseMs: leaseTimes.leaderLeaseMs}
			: {type: 'wantsAll'},
		inForce: revision => inForceOf(presence, revision, performance.now()),
	});

	const server: HttpServer = await createHttpServer({
		listen, limits: serverLimits, onLimit: createListenerLimitReporter('control', {logger, metrics}),
		async handler(request, response) {
			if (request.method === 'POST' && request.url === rpcPath) {
				await rpc.serve(request, response);
			} else if (request.url === '/readyz') {
				const isReady = !isStopping && isInContact(driver.state, performance.now());
				sendJson(response, isReady ? 200 : 503, {
					role: driver.state.role, term: driver.state.term, leaderId: driver.state.leaderId === null ? null : hostOfMember(driver.state.leaderId), revision: replica.state.catalog.revision,
				});
			} else {
				sendJson(response, 404, {error: {type: 'not_found', message: `${request.method} ${request.url}`}});
			}
		},
	});
	members.set(selfId, server.address);
	const form = async (): Promise<void> => {
		try {
			if (await identity.form()) {
				driver.form({voters: formedVoters(identity.formation()), learners: []});
			}
		} catch (error) {
			stopTimers();
			stopServing(error);
		}
	};

	const timers = [
		setInterval(() => {
			void form();
		}, formationIntervalMs),
		setInterval(repair.run, repairIntervalMs),
		setInterval(() => {
			void reconciler.reconcile();
		}, reconcileIntervalMs),
		setInterval(() => {
			void aggregateSender.send();
		}, leaseTimes.leaderRequestIntervalMs),
		setInterval(() => {
			void rollouts.advance();
		}, rolloutIntervalMs),
	];
	const stopTimers = (): void => {
		for (const timer of timers) {
			clearInterval(timer);
		}
	};

	const handOverAndLog = async (): Promise<void> => {
		const result = await handOverLeadership({driver});
		if (result.type === 'handedOver') {
			logger.event('BP1011', {leaderId: hostOfMember(result.leaderId), tookMs: result.tookMs});
		} else if (result.type === 'failed') {
			logger.event('BP1012', {});
		}
	};

	const closeLog = async (): Promise<void> => {
		try {
			await driver.close();
		} finally {
			await lock.release();
		}
	};

	return {
		selfId,
		address: server.address,
		isLeader,
		members: () => driver.state.members,
		syncCount: store.syncCount,
		async stop() {
			isStopping = true;
			handOverCompleted = handOverAndLog();
			await handOverCompleted;
			hub.drain();
			stopTimers();
			// Consensus keeps running meanwhile, so that commands that were received here and forwarded still get their response.
			await server.close();
			await closeLog();
		},
		async close() {
			stopTimers();
			hub.wake();
			snapshots.close();
			await closeLog();
			server.destroy();
		},
	};
};
