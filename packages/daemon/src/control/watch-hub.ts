import {gapSince} from '@bitternpaddle/coordination';
import {
	rpcErrorCodes, type HostReport, type WatchParameters, type WatchResult,
} from '@bitternpaddle/protocol';
import {RpcError} from '@bitternpaddle/transport';
import type {Replica} from './replica.js';

export type WatchHubOptions = {
	readonly leaseMs: number;
	replica(): Replica;
	/** Whether this control host is in contact with a quorum. */
	isInContact(): boolean;
	hear(report: HostReport): void;
};

export type WatchHub = {
	/** Holds the call until there is news for the host or its wait is over. */
	watch(parameters: WatchParameters): Promise<WatchResult>;
	/** Lets all waiting calls look again. */
	wake(): void;
};

/** The hosts that wait at this control host for the next change. */
export const createWatchHub = ({leaseMs, replica, isInContact, hear}: WatchHubOptions): WatchHub => {
	const watchers = new Set<() => void>();

	const assertContact = (): void => {
		if (!isInContact()) {
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

	return {
		async watch({report, waitMs}) {
			assertContact();
			hear(report);
			if (report.revision === replica().state.catalog.revision) {
				await nextNews(waitMs);
				assertContact();
			}

			// A host that is ahead heard a control host that this one lags behind; it waits rather than be set back.
			if (report.revision > replica().state.catalog.revision) {
				await nextNews(waitMs);
				throw new RpcError(rpcErrorCodes.noQuorum, 'this control host is behind the caller');
			}

			const {history, state} = replica();
			return gapSince(history, state.catalog, report.revision, leaseMs);
		},
		wake() {
			for (const wake of watchers) {
				wake();
			}
		},
	};
};
