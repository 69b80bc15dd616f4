import {
	changesSince, decideWatch, encodeCatalog, grantedLeaseMs, hearWatch, type LeaderWord, type ReportFold, type WatchDecision,
} from '@bitternpaddle/coordination';
import {rpcErrorCodes, type WatchParameters, type WatchResult} from '@bitternpaddle/protocol';
import {RpcError} from '@bitternpaddle/transport';
import type {Replica} from './replica.js';

export type WatchHubOptions = {
	readonly leaseMs: number;
	readonly fold: ReportFold;
	replica(): Replica;
	/** The leader's last word to this host; while it leads, its own. */
	word(): LeaderWord | null;
};

export type WatchHub = {
	/** Holds the call until there is news for the host or its wait is over. */
	watch(parameters: WatchParameters): Promise<WatchResult>;
	/** Lets all waiting calls look again, shortly. */
	wake(): void;
	/** This host stops: answers what waits and refuses further calls, so that hosts turn to another while their leases last. */
	leave(): void;
};

/** Changes that come this close together go out in one answer. */
const gatherMs = 10;
/** A written snapshot serves until this many changes have come after it. */
const maxChangesAfterSnapshot = 256;

type WrittenSnapshot = {readonly revision: number; readonly catalog: Promise<string>};

/** The hosts that wait at this control host for the next change. */
export const createWatchHub = ({leaseMs, fold, replica, word}: WatchHubOptions): WatchHub => {
	const waiting = new Set<() => void>();
	let written: WrittenSnapshot | null = null;
	let isWaking = false;
	let isLeaving = false;

	const nextNews = async (waitMs: number): Promise<void> => new Promise(resolve => {
		const finish = (): void => {
			clearTimeout(timer);
			waiting.delete(finish);
			resolve();
		};

		const timer = setTimeout(finish, waitMs);
		waiting.add(finish);
	});

	/** Writing a snapshot costs the whole catalog, so many hosts that need one share it. */
	const sharedSnapshot = (): WrittenSnapshot => {
		const {history, state} = replica();
		const after = written === null ? null : changesSince(history, written.revision);
		if (written === null || after === null || after.length > maxChangesAfterSnapshot) {
			written = {revision: state.catalog.revision, catalog: encodeCatalog(state.catalog)};
		}

		return written;
	};

	const answerFrom = (revision: number, arrivedAtMs: number): WatchResult | null => {
		const {history, state: {catalog}} = replica();
		const changes = changesSince(history, revision);
		const given = word();
		return changes === null || given === null
			? null
			: {
				type: 'changes', changes, revision: catalog.revision, digest: catalog.digest, leaseMs: grantedLeaseMs({word: given, hostLeaseMs: leaseMs, arrivedAtMs}),
			};
	};

	const snapshotAnswer = async (arrivedAtMs: number): Promise<WatchResult> => {
		const {revision, catalog} = sharedSnapshot();
		const text = await catalog;
		const after = answerFrom(revision, arrivedAtMs);
		if (after?.type !== 'changes') {
			throw new RpcError(rpcErrorCodes.noQuorum, 'this control host took over a snapshot meanwhile');
		}

		return {...after, type: 'snapshot', catalog: text};
	};

	const decide = ({revision}: WatchParameters, arrivedAtMs: number): WatchDecision => decideWatch({
		word: word(), ownRevision: replica().state.catalog.revision, hostRevision: revision, arrivedAtMs, nowMs: performance.now(),
	});

	const assertContact = (decision: WatchDecision): void => {
		if (decision === 'noContact') {
			throw new RpcError(rpcErrorCodes.noQuorum, 'this control host is not in contact with a quorum');
		}
	};

	const answer = async (parameters: WatchParameters, arrivedAtMs: number): Promise<WatchResult> => {
		const {catalog} = replica().state;
		const {revision, digest} = parameters;
		const isDiverged = revision === catalog.revision && digest !== catalog.digest;
		const result = (isDiverged ? null : answerFrom(revision, arrivedAtMs)) ?? await snapshotAnswer(arrivedAtMs);
		assertContact(decide(parameters, arrivedAtMs));
		return result;
	};

	const lookAgain = (): void => {
		for (const finish of waiting) {
			finish();
		}
	};

	return {
		async watch(parameters) {
			if (isLeaving) {
				throw new RpcError(rpcErrorCodes.noQuorum, 'this control host is stopping');
			}

			const arrivedAtMs = performance.now();
			if (!hearWatch(fold, parameters, arrivedAtMs)) {
				return {type: 'unknownHost'};
			}

			for (;;) {
				const decision = decide(parameters, arrivedAtMs);
				assertContact(decision);
				const {catalog} = replica().state;
				const isOver = isLeaving || performance.now() >= arrivedAtMs + parameters.waitMs;
				if (decision === 'answer' || (decision === 'hold' && (isOver || parameters.digest !== catalog.digest))) {
					return answer(parameters, arrivedAtMs);
				}

				if (isOver) {
					throw new RpcError(rpcErrorCodes.noQuorum, 'this control host lags behind its leader or the caller');
				}

				await nextNews(arrivedAtMs + parameters.waitMs - performance.now());
			}
		},
		wake() {
			if (isWaking) {
				return;
			}

			isWaking = true;
			setTimeout(() => {
				isWaking = false;
				lookAgain();
			}, gatherMs);
		},
		leave() {
			isLeaving = true;
			lookAgain();
		},
	};
};
