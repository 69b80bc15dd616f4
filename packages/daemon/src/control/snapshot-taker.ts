import {entryBytes} from '@bitternpaddle/coordination';
import {canonicalJsonInSteps, copyState, type LogEntry} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {ConsensusDriver} from './consensus-driver.js';
import type {Replica} from './replica.js';

export type SnapshotTakerOptions = {
	readonly logger: Logger;
	/** Number of log entries after which the log is compacted into a snapshot. */
	readonly snapshotEntries: number;
	/** Size of the log entries after which it is compacted, whatever their number. @default 33554432 */
	readonly snapshotBytes?: number;
	replica(): Replica;
	driver(): ConsensusDriver;
};

export type SnapshotTaker = {
	/** Must be called after each applied entry. */
	afterEntry(entry: LogEntry): void;
	close(): void;
};

const nextTurn = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

/**
 * Serializes the state in steps, so that heartbeats and watches are answered
 * meanwhile: in a single step, 12,000 hosts took half a second, and the other
 * voters elect a new leader after 600 ms. The log is truncated only once the
 * state is completely serialized.
 */
export const createSnapshotTaker = ({logger, snapshotEntries, snapshotBytes = 32 * 1024 * 1024, replica, driver}: SnapshotTakerOptions): SnapshotTaker => {
	let isTakingSnapshot = false;
	let isClosed = false;
	/** Size of the entries applied since the last snapshot was begun. */
	let appliedBytes = 0;

	const takeSnapshot = async (): Promise<void> => {
		const {state, appliedIndex: index, appliedTerm: term} = replica();
		const encodedState = await canonicalJsonInSteps(copyState(state), {pause: nextTurn});
		isTakingSnapshot = false;
		// A snapshot that the leader sent meanwhile may be newer.
		if (!isClosed && index > (driver().state.snapshot?.index ?? 0)) {
			driver().compact({index, term, state: encodedState});
			logger.event('BP1003', {index});
		}
	};

	return {
		afterEntry(entry) {
			appliedBytes += entryBytes(entry);
			const appliedEntries = replica().appliedIndex - (driver().state.snapshot?.index ?? 0);
			if (!isTakingSnapshot && (appliedEntries >= snapshotEntries || appliedBytes >= snapshotBytes)) {
				isTakingSnapshot = true;
				appliedBytes = 0;
				void takeSnapshot();
			}
		},
		close() {
			isClosed = true;
		},
	};
};
