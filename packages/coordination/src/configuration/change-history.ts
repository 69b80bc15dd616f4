import type {RevisedChange} from '@bitternpaddle/protocol';

/** Accepted changes kept for hosts that were away; further back they get a snapshot. */
export type ChangeHistory = {
	readonly keptChanges: number;
	/** Revision before the first kept change. */
	baseRevision: number;
	changes: RevisedChange[];
};

export const createChangeHistory = (baseRevision: number, keptChanges = 4096): ChangeHistory => ({keptChanges, baseRevision, changes: []});

export const recordChange = (history: ChangeHistory, change: RevisedChange): void => {
	history.changes.push(change);
	if (history.changes.length > 2 * history.keptChanges) {
		const dropped = history.changes.length - history.keptChanges;
		history.baseRevision = history.changes[dropped - 1]!.index;
		history.changes = history.changes.slice(dropped);
	}
};

/** Changes after `revision`, or `null` if some of them are no longer kept. */
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
