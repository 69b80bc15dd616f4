import type {Change} from '@bitternpaddle/state';
import type {Logger} from '@bitternpaddle/transport';
import type {Proposals} from './proposals.js';

export type ReconcilerOptions = {
	readonly proposals: Proposals;
	readonly logger: Logger;
	isLeader(): boolean;
	/** Returns the changes that are due now. */
	plan(): Change[];
	/** Called when a host has been removed from the configuration. */
	onHostLeft(hostId: string): void;
};

export type Reconciler = {reconcile(): Promise<void>};

export const reconcileIntervalMs = 200;

/** Proposes the changes that follow from host reports, while this host leads; one round at a time. */
export const createReconciler = ({proposals, logger, isLeader, plan, onHostLeft}: ReconcilerOptions): Reconciler => {
	let isReconciling = false;

	const proposeOne = async (change: Change): Promise<void> => {
		await proposals.propose({commandId: null, ifRevision: null, change});
		if (change.type === 'hostJoined') {
			logger.event('BP1004', {hostId: change.announcement.hostId});
		} else if (change.type === 'hostLeft') {
			onHostLeft(change.hostId);
			logger.event('BP1005', {hostId: change.hostId});
		}
	};

	return {
		async reconcile() {
			if (isReconciling || !isLeader()) {
				return;
			}

			isReconciling = true;
			try {
				await Promise.all(plan().map(async change => proposeOne(change)));
			} catch {
				// Leadership was lost meanwhile; the next leader plans from its own reports.
			} finally {
				isReconciling = false;
			}
		},
	};
};
