import {randomInt} from 'node:crypto';
import {
	formedVoters, hasLeaderLease, hostOfMember, isInContact,
} from '@bitternpaddle/coordination';
import {
	openLogStore, type CommandResult, type LogEntry, type Members,
} from '@bitternpaddle/state';
import {
	createHttpServer, rpcPath, sendJson, silentLogger, type HttpServer, type Logger,
} from '@bitternpaddle/transport';
import {createRecorder} from '../recording/recorder.js';
import {createConsensusDriver, type ConsensusDriver} from './consensus-driver.js';
import {createControlRpc} from './control-rpc.js';
import {hearReport, planMembershipChanges, type HostRegistry} from './host-registry.js';
import {openMemberIdentity} from './member-identity.js';
import {createPeerSender} from './peer-sender.js';
import {createProposals} from './proposals.js';
import {createReconciler, reconcileMs} from './reconciler.js';
import {
	applyToReplica, createReplica, serializeReplica, type Replica,
} from './replica.js';
import {createReportFold, foldMs} from './report-fold.js';
import {createVoterRepair, repairMs} from './voter-repair.js';
import {createWatchHub} from './watch-hub.js';

export type ControlNodeOptions = {
	readonly selfId: string;
	/** @default '127.0.0.1:0' */
	readonly listen?: string;
	/** Data folder; what is in it survives. */
	readonly folder: string;
	/** Addresses of all control hosts by id, this one included. Read at each send, so a test may fill it late. */
	readonly members: Map<string, string>;
	/** Ids of the first voters. */
	readonly voters: readonly string[];
	/** @default 5000 */
	readonly leaseMs?: number;
	/** A host that is silent for this long leaves the configuration. @default 10000 */
	readonly hostLossMs?: number;
	/** Entries in the log before it is replaced by a snapshot. @default 8192 */
	readonly snapshotEntries?: number;
	/** A voter that is silent for longer than a restart takes is replaced. @default 15000 */
	readonly replaceAfterMs?: number;
	readonly recordFile?: string;
	readonly logger?: Logger;
};

export type ControlNode = {
	readonly selfId: string;
	readonly address: string;
	isLeader(): boolean;
	/** Ids of the members as `host#disk`, as far as this host knows. */
	members(): Members;
	/** Syncs of the log since the start. */
	syncCount(): number;
	close(): Promise<void>;
};

const formMs = 100;

/** One control host: the log, the configuration that follows from it, and the hosts that watch it. */
export const createControlNode = async (options: ControlNodeOptions): Promise<ControlNode> => {
	const {
		selfId, listen = '127.0.0.1:0', folder, members, voters, leaseMs = 5000, hostLossMs = 10_000, snapshotEntries = 8192,
		replaceAfterMs = 15_000, logger = silentLogger,
	} = options;
	const identity = await openMemberIdentity({
		hostId: selfId, folder, voters, addressOf: hostId => members.get(hostId),
	});
	const store = await openLogStore({folder});
	if (store.loaded.cutBytes > 0) {
		logger.event('BP1002', {cutBytes: store.loaded.cutBytes});
	}

	let replica: Replica = createReplica(store.loaded.snapshot);
	let leadingSinceMs = 0;
	const registry: HostRegistry = new Map();
	const proposals = createProposals({append: payload => driver.propose(payload)});

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

		if (replica.appliedIndex - (driver.state.snapshot?.index ?? 0) >= snapshotEntries) {
			takeSnapshot();
		}
	};

	const takeSnapshot = (): void => {
		driver.compact({
			index: replica.appliedIndex, term: replica.appliedTerm, state: serializeReplica(replica),
		});
		logger.event('BP1003', {index: replica.appliedIndex});
	};

	const driver: ConsensusDriver = createConsensusDriver({
		selfId: identity.memberId,
		initialMembers: {voters: formedVoters(identity.formation()), learners: []},
		store,
		seed: randomInt(1, 2_147_483_647),
		recorder: options.recordFile === undefined ? undefined : createRecorder(options.recordFile),
		send: createPeerSender({addressOf: memberId => members.get(hostOfMember(memberId))}),
		onCommit,
		onSnapshot(snapshot) {
			replica = createReplica(snapshot);
			hub.wake();
		},
		onRoleChange({role, term, leaderId}) {
			logger.event('BP1001', {role, term, leaderId});
			if (role === 'leader') {
				leadingSinceMs = performance.now();
			}

			hub.wake();
		},
		onFailure(error) {
			logger.event('BP1007', {message: error.message});
			server.destroy();
		},
	});

	const isLeader = (): boolean => hasLeaderLease(driver.state, performance.now());

	const leaderAddress = (): string | undefined => {
		const {leaderId} = driver.state;
		return leaderId === null || leaderId === identity.memberId ? undefined : members.get(hostOfMember(leaderId));
	};

	const fold = createReportFold({selfId, leaderAddress});
	const hub = createWatchHub({
		leaseMs,
		replica: () => replica,
		isInContact: () => isInContact(driver.state, performance.now()),
		hear(report) {
			hearReport(registry, report, performance.now());
			fold.add(report);
		},
	});
	const reconciler = createReconciler({
		proposals, registry, logger, isLeader,
		plan: () => planMembershipChanges({
			catalog: replica.state.catalog, registry, nowMs: performance.now(), leadingSinceMs, hostLossMs,
		}),
	});
	const repair = createVoterRepair({
		driver, identity, logger, replaceAfterMs, voterCount: voters.length,
		otherAddresses: () => [...members].filter(([hostId]) => hostId !== selfId).map(([, address]) => address),
		leadingSinceMs: () => leadingSinceMs,
	});
	const rpc = createControlRpc({
		driver, proposals, hub, logger, identity, hearStandby: repair.hear, isLeader, leaderAddress,
		view: () => ({
			catalog: replica.state.catalog, registry, nowMs: performance.now(), leaseMs,
		}),
		hear(report) {
			hearReport(registry, report, performance.now());
		},
	});

	const server: HttpServer = await createHttpServer({
		listen,
		async handler(request, response) {
			if (request.method === 'POST' && request.url === rpcPath) {
				await rpc.serve(request, response);
			} else if (request.url === '/readyz') {
				const isReady = isInContact(driver.state, performance.now());
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
		if (await identity.form()) {
			driver.form({voters: formedVoters(identity.formation()), learners: []});
		}
	};

	const timers = [
		setInterval(() => {
			void form();
		}, formMs),
		setInterval(repair.run, repairMs),
		setInterval(() => {
			void reconciler.reconcile();
		}, reconcileMs),
		setInterval(() => {
			void fold.send();
		}, foldMs),
	];
	return {
		selfId,
		address: server.address,
		isLeader,
		members: () => driver.state.members,
		syncCount: store.syncCount,
		async close() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			hub.wake();
			await driver.close();
			server.destroy();
		},
	};
};
