import type {RevisedChange, WatchResult} from '@bitternpaddle/protocol';
import type {Catalog} from '@bitternpaddle/state';

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

/** What a host at `revision` lacks. */
export const gapSince = (history: ChangeHistory, catalog: Catalog, revision: number, leaseMs: number): WatchResult => {
	const {digest} = catalog;
	if (revision < history.baseRevision || revision > catalog.revision) {
		return {
			type: 'snapshot', catalog, revision: catalog.revision, digest, leaseMs,
		};
	}

	return {
		type: 'changes', changes: changesAfter(history.changes, revision), revision: catalog.revision, digest, leaseMs,
	};
};

const changesAfter = (changes: readonly RevisedChange[], revision: number): RevisedChange[] => {
	let start = changes.length;
	while (start > 0 && changes[start - 1]!.index > revision) {
		start--;
	}

	return changes.slice(start);
};
