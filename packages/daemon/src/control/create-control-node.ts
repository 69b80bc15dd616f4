import process from 'node:process';
import {
	gapSince, hasLeaderLease, isInContact, rendezvousWeight,
} from '@bitternpaddle/coordination';
import {
	consensusEnvelopeSchema, foldParametersSchema, proposeParametersSchema, queryParametersSchema, rpcErrorCodes, watchParametersSchema,
	type ConsensusEnvelope, type HostReport, type QueryResult, type Show, type WatchParameters, type WatchResult,
} from '@bitternpaddle/protocol';
import {
	openLogStore, type Command, type CommandResult, type LogEntry,
} from '@bitternpaddle/state';
import {
	callRpc, createHttpServer, createRpcServer, notifyRpc, RpcError, rpcPath, sendJson, silentLogger, type HttpServer, type Logger,
} from '@bitternpaddle/transport';
import {createRecorder} from '../recording/recorder.js';
import {answerQuery} from './answer-query.js';
import {createConsensusDriver, type ConsensusDriver} from './consensus-driver.js';
import {hearReport, planMembershipChanges, type HostRegistry} from './host-registry.js';
import {
	applyToReplica, createReplica, serializeReplica, type Replica,
} from './replica.js';

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
	readonly recordFile?: string;
	readonly logger?: Logger;
};

export type ControlNode = {
	readonly selfId: string;
	readonly address: string;
	isLeader(): boolean;
	close(): Promise<void>;
};

const proposalTimeoutMs = 5000;
const reconcileMs = 200;
const foldMs = 250;
const forwardTimeoutMs = 3000;
const consensusTimeoutMs = 1000;

type PendingProposal = {readonly term: number; resolve(result: CommandResult): void; reject(error: Error): void};

/** One control host: the log, the configuration that follows from it, and the hosts that watch it. */
export const createControlNode = async (options: ControlNodeOptions): Promise<ControlNode> => {
	const {
		selfId, listen = '127.0.0.1:0', folder, members, voters, leaseMs = 5000, hostLossMs = 10_000, snapshotEntries = 8192, logger = silentLogger,
	} = options;
	const store = await openLogStore({folder});
	if (store.loaded.cutBytes > 0) {
		logger.event('BP1002', {cutBytes: store.loaded.cutBytes});
	}

	let replica: Replica = createReplica(store.loaded.snapshot);
	const registry: HostRegistry = new Map();
	const pending = new Map<number, PendingProposal>();
	const watchers = new Set<() => void>();
	const folded = new Map<string, HostReport>();
	let leadingSinceMs = 0;
	let isReconciling = false;

	const wakeWatchers = (): void => {
		for (const wake of watchers) {
			wake();
		}
	};

	const onCommit = (entry: LogEntry): void => {
		const before = replica.state.catalog.revision;
		replica.appliedIndex = entry.index;
		replica.appliedTerm = entry.term;
		const result: CommandResult = entry.payload.type === 'command'
			? applyToReplica(replica, entry.payload.command, entry.index)
			: {type: 'accepted', revision: before};
		const waiting = pending.get(entry.index);
		if (waiting !== undefined) {
			pending.delete(entry.index);
			if (waiting.term === entry.term) {
				waiting.resolve(result);
			} else {
				waiting.reject(new RpcError(rpcErrorCodes.notLeader, 'another leader took over; the change was not accepted'));
			}
		}

		if (replica.state.catalog.revision !== before) {
			wakeWatchers();
		}

		if (replica.appliedIndex - (driver.state.snapshot?.index ?? 0) >= snapshotEntries) {
			takeSnapshot();
		}
	};

	const takeSnapshot = (): void => {
		driver.compact({
			index: replica.appliedIndex, term: replica.appliedTerm, members: driver.state.members, state: serializeReplica(replica),
		});
		logger.event('BP1003', {index: replica.appliedIndex});
	};

	const sendEnvelope = (envelope: ConsensusEnvelope): void => {
		const address = members.get(envelope.to);
		if (address !== undefined) {
			// A lost message is sent again by the rules of consensus.
			notifyRpc({
				address, method: 'consensus.message', params: envelope, timeoutMs: consensusTimeoutMs,
			}).catch(() => undefined);
		}
	};

	const driver: ConsensusDriver = createConsensusDriver({
		selfId,
		initialMembers: {voters: [...voters], learners: []},
		store,
		seed: seedFrom(selfId),
		recorder: options.recordFile === undefined ? undefined : createRecorder(options.recordFile),
		send: sendEnvelope,
		onCommit,
		onSnapshot(snapshot) {
			replica = createReplica(snapshot);
			wakeWatchers();
		},
		onRoleChange({role, term, leaderId}) {
			logger.event('BP1001', {role, term, leaderId});
			if (role === 'leader') {
				leadingSinceMs = performance.now();
			}

			wakeWatchers();
		},
		onFailure(error) {
			logger.event('BP1007', {message: error.message});
			server.destroy();
		},
	});

	const isLeader = (): boolean => hasLeaderLease(driver.state, performance.now());

	const proposeHere = async (command: Command): Promise<CommandResult> => {
		const outcome = driver.propose({type: 'command', command});
		if (outcome.type === 'rejected') {
			throw new RpcError(rpcErrorCodes.notLeader, 'this control host does not lead');
		}

		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				pending.delete(outcome.index);
				reject(new RpcError(rpcErrorCodes.noQuorum, 'no quorum confirmed the change in time; it may still be accepted: resend it with the same command id'));
			}, proposalTimeoutMs);
			pending.set(outcome.index, {
				term: outcome.term,
				resolve(result) {
					clearTimeout(timer);
					resolve(result);
				},
				reject(error) {
					clearTimeout(timer);
					reject(error);
				},
			});
		});
	};

	/** Calls the leader's `method`, or does it here if this host leads. */
	const atLeader = async <Result>(method: string, parameters: Record<string, unknown>, here: () => Promise<Result> | Result): Promise<Result> => {
		if (isLeader()) {
			return here();
		}

		const leader = driver.state.leaderId;
		const address = leader === null || leader === selfId ? undefined : members.get(leader);
		if (address === undefined || parameters.isForwarded === true) {
			throw new RpcError(rpcErrorCodes.noQuorum, 'no leader is in contact with a quorum');
		}

		return callRpc<Result>({
			address, method, params: {...parameters, isForwarded: true}, timeoutMs: forwardTimeoutMs + proposalTimeoutMs,
		});
	};

	const query = (show: Show): QueryResult => {
		const {catalog} = replica.state;
		const rows = answerQuery({
			catalog, registry, nowMs: performance.now(), leaseMs,
		}, show);
		return {revision: catalog.revision, rows};
	};

	/** Holds the call until there is news for the host or its wait is over. */
	const watch = async ({report, waitMs}: WatchParameters): Promise<WatchResult> => {
		assertContact();
		hearReport(registry, report, performance.now());
		folded.set(report.hostId, report);
		if (report.revision === replica.state.catalog.revision) {
			await nextNews(waitMs);
			assertContact();
		}

		// A host that is ahead heard a control host that this one lags behind; it waits rather than be set back.
		if (report.revision > replica.state.catalog.revision) {
			await nextNews(waitMs);
			throw new RpcError(rpcErrorCodes.noQuorum, 'this control host is behind the caller');
		}

		return gapSince(replica.history, replica.state.catalog, report.revision, leaseMs);
	};

	const assertContact = (): void => {
		if (!isInContact(driver.state, performance.now())) {
			throw new RpcError(rpcErrorCodes.noQuorum, 'this control host is not in contact with a quorum');
		}
	};

	const nextNews = async (waitMs: number): Promise<void> => new Promise(resolve => {
		const finish = (): void => {
			clearTimeout(timer);
			watchers.delete(finish);
			resolve();
		};

		const timer = setTimeout(finish, waitMs);
		watchers.add(finish);
	});

	const reconcile = async (): Promise<void> => {
		if (isReconciling || !isLeader()) {
			return;
		}

		isReconciling = true;
		try {
			const changes = planMembershipChanges({
				catalog: replica.state.catalog, registry, nowMs: performance.now(), leadingSinceMs, hostLossMs,
			});
			await Promise.all(changes.map(async change => {
				await proposeHere({commandId: null, ifRevision: null, change});
				if (change.type === 'hostJoined') {
					logger.event('BP1004', {hostId: change.announcement.hostId});
				} else if (change.type === 'hostLeft') {
					registry.delete(change.hostId);
					logger.event('BP1005', {hostId: change.hostId});
				}
			}));
		} catch {
			// Leadership was lost on the way; the next leader plans from its own reports.
		} finally {
			isReconciling = false;
		}
	};

	const fold = async (): Promise<void> => {
		const leader = driver.state.leaderId;
		const address = leader === null || leader === selfId ? undefined : members.get(leader);
		if (address === undefined || folded.size === 0) {
			return;
		}

		const reports = [...folded.values()];
		folded.clear();
		await notifyRpc({
			address, method: 'control.fold', params: {from: selfId, reports}, timeoutMs: forwardTimeoutMs,
		}).catch(() => undefined);
	};

	const rpc = createRpcServer();
	rpc.method('consensus.message', consensusEnvelopeSchema, envelope => {
		driver.receive(envelope);
	});
	rpc.method('control.watch', watchParametersSchema, watch);
	rpc.method('control.fold', foldParametersSchema, ({reports}) => {
		for (const report of reports) {
			hearReport(registry, report, performance.now());
		}
	});
	rpc.method('control.propose', proposeParametersSchema, async ({command, isForwarded}) => atLeader('control.propose', {command, isForwarded}, async () => {
		const result = await proposeHere(command);
		if (result.type === 'accepted' && command.commandId !== null) {
			logger.event('BP1006', {change: command.change.type, revision: result.revision});
		}

		return result;
	}));
	rpc.method('control.query', queryParametersSchema, async ({show, isForwarded}) => atLeader('control.query', {show, isForwarded}, () => query(show)));

	const server: HttpServer = await createHttpServer({
		listen,
		async handler(request, response) {
			if (request.method === 'POST' && request.url === rpcPath) {
				await rpc.serve(request, response);
			} else if (request.url === '/readyz') {
				const isReady = isInContact(driver.state, performance.now());
				sendJson(response, isReady ? 200 : 503, {
					role: driver.state.role, term: driver.state.term, leaderId: driver.state.leaderId, revision: replica.state.catalog.revision,
				});
			} else {
				sendJson(response, 404, {error: {type: 'not_found', message: `${request.method} ${request.url}`}});
			}
		},
	});
	members.set(selfId, server.address);
	const timers = [
		setInterval(() => {
			void reconcile();
		}, reconcileMs),
		setInterval(() => {
			void fold();
		}, foldMs),
	];
	return {
		selfId,
		address: server.address,
		isLeader,
		async close() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			wakeWatchers();
			await driver.close();
			server.destroy();
		},
	};
};

const seedFrom = (selfId: string): number => rendezvousWeight(String(process.pid), selfId) % 2_147_483_647;
