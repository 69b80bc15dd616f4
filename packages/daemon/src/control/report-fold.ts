import type {HostReport} from '@bitternpaddle/protocol';
import {notifyRpc} from '@bitternpaddle/transport';

export type ReportFoldOptions = {
	readonly selfId: string;
	/** Address of the leader; `undefined` while there is none or this host leads. */
	leaderAddress(): string | undefined;
};

export type ReportFold = {
	add(report: HostReport): void;
	/** Sends what was heard since the last time to the leader, in one message. */
	send(): Promise<void>;
};

export const foldMs = 250;
const foldTimeoutMs = 3000;

/** Gathers the reports that a follower hears, for the leader. */
export const createReportFold = ({selfId, leaderAddress}: ReportFoldOptions): ReportFold => {
	const folded = new Map<string, HostReport>();
	return {
		add(report) {
			folded.set(report.hostId, report);
		},
		async send() {
			const address = leaderAddress();
			if (address === undefined || folded.size === 0) {
				return;
			}

			const reports = [...folded.values()];
			folded.clear();
			await notifyRpc({
				address, method: 'control.fold', params: {from: selfId, reports}, timeoutMs: foldTimeoutMs,
			}).catch(() => undefined);
		},
	};
};
