import {
	createConsensus, createRandom, membersAt, stepConsensus, type ConsensusEffect, type ConsensusEvent, type ConsensusState, type RejectionReason,
} from '@bitternpaddle/coordination';
import type {ConsensusEnvelope, ConsensusMessage} from '@bitternpaddle/protocol';
import type {
	HardState, LogEntry, LogRecord, LogStore, Members, Snapshot,
} from '@bitternpaddle/state';
import {match} from 'ts-pattern';
import type {Recorder} from '../recording/recorder.js';

export type ConsensusDriverOptions = {
	readonly selfId: string;
	readonly initialMembers: Members;
	readonly store: LogStore;
	readonly seed: number;
	readonly recorder?: Recorder;
	/** @default performance.now */
	nowMs?(): number;
	send(envelope: ConsensusEnvelope): void;
	/** Called once per committed entry, in log order. */
	onCommit(entry: LogEntry): void;
	onSnapshot(snapshot: Snapshot): void;
	onRoleChange(effect: Extract<ConsensusEffect, {type: 'roleChanged'}>): void;
	/** Called when the log could not be written: nothing may be acknowledged from then on. */
	onFailure(error: Error): void;
};

export type ProposalOutcome
	= | {readonly type: 'proposed'; readonly index: number; readonly term: number}
		| {readonly type: 'rejected'; readonly reason: RejectionReason};

export type ConsensusDriver = {
	readonly state: ConsensusState;
	receive(envelope: ConsensusEnvelope): void;
	propose(payload: LogEntry['payload']): ProposalOutcome;
	/** Transfers the leadership if this host leads and another voter is up to date; `state.role` shows when it is done. */
	transferLeadership(): void;
	/** Applies the member list on which the initial voters have agreed. */
	form(members: Members): void;
	/** Replaces the committed log up to and including `snapshot.index`. */
	compact(snapshot: Omit<Snapshot, 'members'>): void;
	close(): Promise<void>;
};

const tickIntervalMs = 25;

/** A disk task; tasks run in the order in which they were queued. */
type DiskTask
	= | {readonly type: 'records'; readonly records: readonly LogRecord[]}
		| {readonly type: 'snapshot'; readonly snapshot: Snapshot; readonly hardState: HardState; readonly tail: readonly LogEntry[]}
		| {readonly type: 'send'; readonly envelope: ConsensusEnvelope};

/**
 * Turns the effects of consensus into disk writes and messages. Everything that
 * is queued while a sync runs shares the next sync (group commit), which allows
 * many changes per second on a slow disk.
 */
export const createConsensusDriver = (options: ConsensusDriverOptions): ConsensusDriver => {
	const {selfId, store, seed, recorder, nowMs = () => performance.now()} = options;
	const {hardState, snapshot, entries} = store.loaded;
	const consensusOptions = {
		selfId, initialMembers: options.initialMembers, hardState, snapshot, entries, nowMs: nowMs(),
	};
	const state = createConsensus({...consensusOptions, random: createRandom(seed)});
	recorder?.begin({machine: 'consensus', seed, options: consensusOptions});
	let diskTasks: DiskTask[] = [];
	let isFlushing = false;
	let isClosed = false;
	let flushed: Promise<void> = Promise.resolve();
	let lastOutcome: ProposalOutcome | null = null;
	let lastProposalToken = 0;

	const envelopeTo = (to: string, message: ConsensusMessage): ConsensusEnvelope => ({from: selfId, to, message});

	const dispatch = (event: ConsensusEvent): void => {
		const atMs = nowMs();
		const effects = stepConsensus(state, event, atMs);
		recorder?.step(atMs, event, effects);
		for (const effect of effects) {
			perform(effect);
		}

		if (diskTasks.length > 0 && !isFlushing && !isClosed) {
			isFlushing = true;
			flushed = flush();
		}
	};

	const perform = (effect: ConsensusEffect): void => {
		match(effect)
			.with({type: 'persist'}, ({hardState: saved, truncateFrom, entries: added}) => {
				const records: LogRecord[] = [];
				if (saved !== null) {
					records.push({type: 'hardState', hardState: saved});
				}

				if (truncateFrom !== null) {
					records.push({type: 'truncate', fromIndex: truncateFrom});
				}

				records.push(...added.map(entry => ({type: 'entry', entry}) as const));
				diskTasks.push({type: 'records', records});
			})
			.with({type: 'installSnapshot'}, ({snapshot: installed, hardState: saved}) => {
				diskTasks.push({
					type: 'snapshot', snapshot: installed, hardState: saved, tail: [],
				});
				options.onSnapshot(installed);
			})
			.with({type: 'send'}, ({to, message, afterSync}) => {
				if (afterSync) {
					diskTasks.push({type: 'send', envelope: envelopeTo(to, message)});
				} else {
					options.send(envelopeTo(to, message));
				}
			})
			.with({type: 'commit'}, ({entries: committed}) => {
				for (const entry of committed) {
					options.onCommit(entry);
				}
			})
			.with({type: 'proposed'}, ({index, term}) => {
				lastOutcome = {type: 'proposed', index, term};
			})
			.with({type: 'rejected'}, ({reason}) => {
				lastOutcome = {type: 'rejected', reason};
			})
			.with({type: 'roleChanged'}, changed => {
				options.onRoleChange(changed);
			})
			.exhaustive();
	};

	const flush = async (): Promise<void> => {
		// Yields to the event loop first, so that all events of the current turn share the sync.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		try {
			while (diskTasks.length > 0) {
				const tasks = diskTasks;
				diskTasks = [];
				await flushTasks(tasks);
			}
		} catch (error) {
			isClosed = true;
			options.onFailure(error as Error);
		} finally {
			isFlushing = false;
		}
	};

	const flushTasks = async (tasks: readonly DiskTask[]): Promise<void> => {
		let records: LogRecord[] = [];
		let sends: ConsensusEnvelope[] = [];
		const flushPending = async (): Promise<void> => {
			const written = records;
			const pendingSends = sends;
			records = [];
			sends = [];
			if (written.length > 0) {
				await store.append(written);
			}

			for (const envelope of pendingSends) {
				options.send(envelope);
			}

			const last = written.findLast(record => record.type === 'entry');
			if (last?.type === 'entry') {
				dispatch({type: 'persisted', index: last.entry.index, term: last.entry.term});
			}
		};

		for (const task of tasks) {
			if (task.type === 'records') {
				records.push(...task.records);
			} else if (task.type === 'send') {
				sends.push(task.envelope);
			} else {
				await flushPending();
				await store.saveSnapshot(task.snapshot, task.hardState, task.tail);
			}
		}

		await flushPending();
	};

	const timer = setInterval(() => {
		dispatch({type: 'tick'});
	}, tickIntervalMs);
	return {
		state,
		receive({from, to, message}) {
			// Ignores messages to the member that this host was with an earlier disk.
			if (!isClosed && to === selfId) {
				dispatch({type: 'message', from, message});
			}
		},
		propose(payload) {
			lastProposalToken++;
			dispatch({type: 'propose', token: lastProposalToken, payload});
			return lastOutcome!;
		},
		transferLeadership() {
			dispatch({type: 'transferLeadership'});
		},
		form(members) {
			dispatch({type: 'formed', members});
		},
		compact(replaced) {
			// The members as of that entry: newer, uncommitted ones may still be rolled back.
			const withMembers: Snapshot = {...replaced, members: membersAt(state, replaced.index)};
			dispatch({type: 'compacted', snapshot: withMembers});
			diskTasks.push({
				type: 'snapshot', snapshot: withMembers, hardState: {term: state.term, votedFor: state.votedFor}, tail: [...state.entries],
			});
		},
		async close() {
			clearInterval(timer);
			await flushed;
			isClosed = true;
			await store.close();
			await recorder?.close();
		},
	};
};
