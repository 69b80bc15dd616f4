import type {RevisedChange} from '@bitternpaddle/protocol';

/** Accepted changes retained for hosts that fell behind. A host whose revision is older than these gets a snapshot. */
export type ChangeHistory = {
	readonly retainedChanges: number;
	readonly retainedBytes: number;
	/** Size of the retained changes as JSON. */
	sizeBytes: number;
	/** Revision before the first retained change. */
	baseRevision: number;
	changes: RevisedChange[];
};

export const createChangeHistory = (baseRevision: number, retainedChanges = 4096, retainedBytes = 8 * 1024 * 1024): ChangeHistory => ({
	retainedChanges, retainedBytes, sizeBytes: 0, baseRevision, changes: [],
});

const changeBytes = (change: RevisedChange): number => JSON.stringify(change).length;

export const recordChange = (history: ChangeHistory, change: RevisedChange): void => {
	history.changes.push(change);
	history.sizeBytes += changeBytes(change);
	if (history.changes.length > 2 * history.retainedChanges) {
		dropOldest(history, history.changes.length - history.retainedChanges);
	} else if (history.sizeBytes > 2 * history.retainedBytes) {
		dropOldest(history, excessChanges(history));
	}
};

/** Number of the oldest changes without which the others fit into `retainedBytes`. */
const excessChanges = ({changes, sizeBytes, retainedBytes}: ChangeHistory): number => {
	let remainingBytes = sizeBytes;
	let count = 0;
	while (remainingBytes > retainedBytes) {
		remainingBytes -= changeBytes(changes[count]!);
		count++;
	}

	return count;
};

const dropOldest = (history: ChangeHistory, count: number): void => {
	history.baseRevision = history.changes[count - 1]!.index;
	history.changes = history.changes.slice(count);
	history.sizeBytes = history.changes.reduce((sum, change) => sum + changeBytes(change), 0);
};

/** Changes after `revision`, or `null` if some of them are no longer retained. */
export const changesSince = ({baseRevision, changes}: ChangeHistory, revision: number): readonly RevisedChange[] | null => {
	if (revision < baseRevision) {
		return null;
	}

	let start = changes.length;
	while (start > 0 && changes[start - 1]!.index > revision) {
		start--;
	}

	return changes.slice(start);
};
