import {
	changesSince, decideWatch, encodeCatalog, grantedLeaseMs, recordWatch, type LeaderLease, type ReportAggregator, type WatchDecision,
} from '@bitternpaddle/coordination';
import {rpcErrorCodes, type WatchParameters, type WatchResult} from '@bitternpaddle/protocol';
import {RpcError} from '@bitternpaddle/transport';
import type {Replica} from './replica.js';

export type WatchHubOptions = {
	readonly leaseMs: number;
	readonly aggregator: ReportAggregator;
	replica(): Replica;
	/** The last lease that the leader granted this host; while this host leads, its own. */
	currentLeaderLease(): LeaderLease | null;
};

export type WatchHub = {
	/** Long poll: resolves when there is an update for the host, or when its maximum wait has passed. */
	watch(parameters: WatchParameters): Promise<WatchResult>;
	/** Lets all waiting calls check for an update after a short delay. */
	wake(): void;
	/** For shutdown: answers all waiting calls and rejects new ones, so that hosts move to another control host before their leases expire. */
	drain(): void;
};

/** Changes that occur within this time are sent in one response. */
const coalesceMs = 10;
/** An encoded snapshot is reused until more than this many changes have followed it. */
const maxChangesAfterSnapshot = 256;

type EncodedSnapshot = {readonly revision: number; readonly catalog: Promise<string>};

/** Serves the hosts that wait at this control host for the next change. */
export const createWatchHub = ({leaseMs, aggregator, replica, currentLeaderLease}: WatchHubOptions): WatchHub => {
	const waiters = new Set<() => void>();
	let cachedSnapshot: EncodedSnapshot | null = null;
	let isWakeScheduled = false;
	let isStopping = false;

	const nextWake = async (waitMs: number): Promise<void> => new Promise(resolve => {
		const finish = (): void => {
			clearTimeout(timer);
			waiters.delete(finish);
			resolve();
		};

		const timer = setTimeout(finish, waitMs);
		waiters.add(finish);
	});

	/** A snapshot encodes the complete catalog, so all hosts that need one share it. */
	const sharedSnapshot = (): EncodedSnapshot => {
		const {history, state} = replica();
		const after = cachedSnapshot === null ? null : changesSince(history, cachedSnapshot.revision);
		if (cachedSnapshot === null || after === null || after.length > maxChangesAfterSnapshot) {
			cachedSnapshot = {revision: state.catalog.revision, catalog: encodeCatalog(state.catalog)};
		}

		return cachedSnapshot;
	};

	const answerFrom = (revision: number, arrivedAtMs: number): WatchResult | null => {
		const {history, state: {catalog}} = replica();
		const changes = changesSince(history, revision);
		const grantedLease = currentLeaderLease();
		return changes === null || grantedLease === null
			? null
			: {
				type: 'changes', changes, revision: catalog.revision, digest: catalog.digest, leaseMs: grantedLeaseMs({lease: grantedLease, hostLeaseMs: leaseMs, arrivedAtMs}),
			};
	};

	const snapshotAnswer = async (arrivedAtMs: number): Promise<WatchResult> => {
		const {revision, catalog} = sharedSnapshot();
		const text = await catalog;
		const after = answerFrom(revision, arrivedAtMs);
		if (after?.type !== 'changes') {
			throw new RpcError(rpcErrorCodes.noQuorum, 'this control host installed a snapshot meanwhile');
		}

		return {...after, type: 'snapshot', catalog: text};
	};

	const decide = ({revision}: WatchParameters, arrivedAtMs: number): WatchDecision => decideWatch({
		leaderLease: currentLeaderLease(), ownRevision: replica().state.catalog.revision, hostRevision: revision, arrivedAtMs, nowMs: performance.now(),
	});

	const assertQuorumContact = (decision: WatchDecision): void => {
		if (decision === 'noContact') {
			throw new RpcError(rpcErrorCodes.noQuorum, 'this control host is not in contact with a quorum');
		}
	};

	const answer = async (parameters: WatchParameters, arrivedAtMs: number): Promise<WatchResult> => {
		const {catalog} = replica().state;
		const {revision, digest} = parameters;
		const isDiverged = revision === catalog.revision && digest !== catalog.digest;
		const result = (isDiverged ? null : answerFrom(revision, arrivedAtMs)) ?? await snapshotAnswer(arrivedAtMs);
		assertQuorumContact(decide(parameters, arrivedAtMs));
		return result;
	};

	const wakeAll = (): void => {
		for (const finish of waiters) {
			finish();
		}
	};

	return {
		async watch(parameters) {
			if (isStopping) {
				throw new RpcError(rpcErrorCodes.noQuorum, 'this control host is stopping');
			}

			const arrivedAtMs = performance.now();
			if (!recordWatch(aggregator, parameters, arrivedAtMs)) {
				return {type: 'unknownHost'};
			}

			for (;;) {
				const decision = decide(parameters, arrivedAtMs);
				assertQuorumContact(decision);
				const {catalog} = replica().state;
				const isOver = isStopping || performance.now() >= arrivedAtMs + parameters.waitMs;
				if (decision === 'answer' || (decision === 'hold' && (isOver || parameters.digest !== catalog.digest))) {
					return answer(parameters, arrivedAtMs);
				}

				if (isOver) {
					throw new RpcError(rpcErrorCodes.noQuorum, 'this control host lags behind its leader or the caller');
				}

				await nextWake(arrivedAtMs + parameters.waitMs - performance.now());
			}
		},
		wake() {
			if (isWakeScheduled) {
				return;
			}

			isWakeScheduled = true;
			setTimeout(() => {
				isWakeScheduled = false;
				wakeAll();
			}, coalesceMs);
		},
		drain() {
			isStopping = true;
			wakeAll();
		},
	};
};
