import type {RevisedChange} from '@bitternpaddle/protocol';

/** Accepted changes retained for hosts that fell behind. A host whose revision is older than these gets a snapshot. */
export type ChangeHistory = {
	readonly retainedChanges: number;
	/** Revision before the first retained change. */
	baseRevision: number;
	changes: RevisedChange[];
};

export const createChangeHistory = (baseRevision: number, retainedChanges = 4096): ChangeHistory => ({retainedChanges, baseRevision, changes: []});

export const recordChange = (history: ChangeHistory, change: RevisedChange): void => {
	history.changes.push(change);
	if (history.changes.length > 2 * history.retainedChanges) {
		const dropped = history.changes.length - history.retainedChanges;
		history.baseRevision = history.changes[dropped - 1]!.index;
		history.changes = history.changes.slice(dropped);
	}
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
